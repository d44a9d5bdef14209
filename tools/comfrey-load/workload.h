// A workload: who sends what at which rate, and what fails meanwhile. All times are model times;
// the time scale turns them into wall time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfrey/error.h"
#include "comfrey/lists.h"

namespace comfrey::load {

struct Organisation
{
    std::string name;
    std::string plan = "standard";
    std::string key; ///< API key as the caller sends it.
    std::string model = "herder-7b";
    std::uint32_t share = 1;
    double rate = 1;                ///< Chat requests a second.
    Tokens systemTokens = 200;      ///< Of the system prompt that its chats share.
    Tokens firstPromptTokens = 200; ///< Mean of a chat's first question.
    Tokens turnTokens = 60;         ///< Mean of later questions.
    Tokens answerTokens = 16;       ///< Mean.
    double returning = 0.75;        ///< Share of requests that continue a chat.
    double pauseSeconds = 1;        ///< Least time between two turns of a chat.
    std::uint32_t maxTurns = 12;
};

/// Multiplies rates for a time; `organisations` empty means all.
struct Burst
{
    double at = 0;
    double seconds = 0;
    double factor = 1;
    std::vector<std::string> organisations;
};

/// Requests whose answer is many times longer than others.
struct Stragglers
{
    double share = 0;
    std::uint32_t factor = 20;
};

struct ServiceLoad
{
    std::string name;
    double rate = 1;           ///< Calls a second.
    std::uint32_t resends = 3; ///< After an unknown or refused call, with the same key.
    double resendAfterSeconds = 1;
};

/// Instances: engines, in the platform's list.
enum class FaultTarget : std::uint8_t { Engines, Services, Platform, Instances };

/// A change of faults at some time, and back.
struct FaultPlan
{
    FaultTarget target = FaultTarget::Engines;
    double at = 0;
    double seconds = 0;
    double share = 1;         ///< Of the targets, the first ones after a seeded shuffle.
    double periodSeconds = 0; ///< Above 0: on and off in turn, this long each.
    std::string on;           ///< JSON body of PUT /faults.
    std::string off;
};

/// Requests that crash the engine that runs them.
struct Crashing
{
    double everySeconds = 0; ///< 0 is never.
    std::uint32_t resends = 3;
    std::string marker = "comfrey-crash";
};

struct Workload
{
    std::string name;
    double seconds = 10;
    double warmUpSeconds = 1; ///< Requests that arrive before are sent but not counted.
    std::uint32_t engines = 1;
    std::uint32_t slots = 4; ///< By engine.
    std::uint32_t routers = 1;
    std::uint32_t zones = 1;
    std::uint32_t services = 1; ///< Replicas.
    Tokens cacheTokens = 30000; ///< By engine.
    double wholeShare = 0.1;    ///< Chats answered whole instead of streamed.
    Contract contract;
    std::vector<Organisation> organisations;
    std::vector<Burst> bursts;
    Stragglers stragglers;
    std::vector<ServiceLoad> serviceLoads;
    std::vector<FaultPlan> faults;
    Crashing crashing;
};

/// Reads the files in turn: later ones replace values of earlier ones and add to their lists.
Result<Workload> readWorkload(const std::vector<std::string> &files);

/// The lists that entitle the workload's organisations, with times multiplied by `timeScale`.
Lists listsOf(const Workload &workload, double timeScale);

} // namespace comfrey::load
