// The properties of requests and of backend servers' answers on which dispatch decisions depend.
// The platform translates header fields into them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// A part of a prompt. Its id is the same in all requests whose prompts agree up to this part.
struct PromptPart
{
    std::uint64_t id = 0;
    Tokens tokens = 0;
};

/// Properties of a request from a caller.
struct RequestFacts
{
    std::string id; ///< Identifies one attempt of the caller.
    std::string host;
    std::string path; ///< Without the query string.
    std::string apiKey;
    std::optional<Duration> callerTimeout; ///< How long the caller waits for the answer.
    std::vector<PromptPart> prompt; ///< In order; the last part belongs to the request or its chat.
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::string lastEventId; ///< Last stream event that the caller received.
    Fingerprint fingerprint; ///< The same for equal requests of one caller.
};

/// Properties of a backend server's answer.
struct AnswerFacts
{
    bool isGenuine = false;         ///< Has the server's signature and no content encoding.
    bool isNotRun = false;          ///< The server reports that it did not run the request.
    bool isFromOtherServer = false; ///< Another server answered at the address.
    bool isLeaving = false;         ///< The server announces that it leaves.
    /// The server rejected the request and asks this router to send none for this time.
    std::optional<Duration> requestedPause;
    /// Load that the server reports, over the requests of all routers.
    struct Load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::uint32_t slots = 0;
    };
    std::optional<Load> load; ///< Absent if the server reports none.
};

/// Key that sends related requests to the same server: the id of the last shared prompt part, or a
/// hash of the request id if there is no prompt.
std::uint64_t affinityKey(const RequestFacts &request);

/// Hash by which routers refer to the request's shared prompt; 0 if it has none.
std::uint32_t promptHash(const RequestFacts &request);

/// Ids of the shared prompt parts, in order: all but the last, which is the request's own.
std::vector<PromptPartId> sharedParts(const RequestFacts &request);

/// Hexadecimal ids of the shared prompt parts, separated by commas, for log lines; at most eight.
std::string sharedPartIds(const RequestFacts &request);

} // namespace comfrey
