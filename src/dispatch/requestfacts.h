// What the decisions need to know of a request and of a backend server's answer. The translation
// from header fields is the platform's.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// A part of a prompt, shared by all requests whose prompts begin with the same parts.
struct PromptPart
{
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

struct RequestFacts
{
    std::string id; ///< Of one attempt of the caller.
    std::string host;
    std::string path; ///< Without the query.
    std::string apiKey;
    std::optional<Duration> callerTimeout; ///< How long the caller waits.
    std::vector<PromptPart> prompt; ///< In order; the last part is the request's own or its chat's.
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::string lastEventId; ///< The caller has the stream up to there.
    Fingerprint fingerprint; ///< Equal for equal requests of one caller.
};

struct AnswerFacts
{
    bool isGenuine = false;         ///< Bears the server's signature, unencoded.
    bool isNotRun = false;          ///< The server says that it did not run the request.
    bool isFromOtherServer = false; ///< Another server has the address.
    bool isLeaving = false;         ///< The server says that it leaves.
    /// The server turned the request away and wants nothing from this router for so long.
    std::optional<Duration> requestedPause;
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };
    std::optional<Load> load; ///< Of all routers' requests.
};

/// What keeps a request near earlier ones: its last shared part, or its own id.
std::uint64_t affinityKey(const RequestFacts &request);

/// Names the request's shared prompt between routers; 0 if it has none.
std::uint32_t promptHash(const RequestFacts &request);

} // namespace comfrey
