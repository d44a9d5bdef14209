// Every request of a run, computed in advance from a seed: arrivals do not depend on answers, and
// as answers are a function of prompts, the prompts of returning chats are known as well.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "comfrey-load/workload.h"
#include "common/prompt.h"

namespace comfrey::load {

enum class PlannedKind : std::uint8_t { Chat, ServiceCall, Crashing };

struct PlannedRequest
{
    PlannedKind kind = PlannedKind::Chat;
    double at = 0;                ///< Model seconds after the start.
    std::size_t organisation = 0; ///< Index in Workload::organisations.
    std::string chat;
    std::string body; ///< Of a chat: its JSON.
    std::uint64_t promptKey = 0;
    Tokens promptTokens = 0;
    Tokens possibleCached = 0; ///< With unlimited memory and one router.
    Tokens answerTokens = 0;
    bool isStreamed = true;
    bool isStraggler = false;
    std::size_t service = 0;    ///< Index in Workload::serviceLoads.
    std::string idempotencyKey; ///< Of a service call.
};

/// All requests in the order of their arrival.
std::vector<PlannedRequest> planRequests(const Workload &workload, std::uint64_t seed);

} // namespace comfrey::load
