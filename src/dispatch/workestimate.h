// Estimates what a request asks of an engine before it runs: the time to read its prompt, the time
// that it occupies a slot, and the memory. Reading and generation times are learnt from answers,
// separately for each route.
#pragma once

#include <map>
#include <string>

#include "comfrey/units.h"
#include "dispatch/requestfacts.h"

namespace comfrey {

/// What a request is expected to need of an engine.
struct WorkEstimate
{
    Duration firstToken{0};  ///< From sending to the first token; zero if nothing is learnt.
    Duration slotTime{0};    ///< From sending to the end; zero if nothing is learnt.
    Tokens memoryTokens = 0; ///< The most that it may occupy: its prompt and its longest answer.
};

/// Learns from answers how long requests of each route take, smoothed.
class WorkEstimator
{
public:
    /// The first token of an answer came `waited` after the request was sent.
    void onFirstToken(const std::string &route, const RequestFacts &request, Duration waited);
    /// The answer ended whole, `duration` after the request was sent.
    void onAnswerEnded(const std::string &route, const RequestFacts &request, Duration duration);
    /// The expected work of a request.
    WorkEstimate estimate(const std::string &route, const RequestFacts &request) const;

private:
    struct Learnt
    {
        double firstTokenUs = 0;
        double slotTimeUs = 0;
        double promptTokens = 0; ///< Mean over the requests that ended.
        double outputTokens = 0; ///< Mean of the longest answers that these allowed.
    };

    std::map<std::string, Learnt> m_routes; ///< Bounded by kMaxRoutes.
};

} // namespace comfrey
