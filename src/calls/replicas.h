// Which replica of a plain service gets a call: the one with the fewest calls of this router in
// flight, leaving out those that lately could not be reached.
#pragma once

#include <map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "facade/part.h"

namespace comfrey {

class Replicas
{
public:
    explicit Replicas(const PartContext &context) : m_context(context) { }

    /// Null if no replica outside `tried` takes new calls.
    const BackendView *choose(const ServiceName &service, const std::vector<BackendId> &tried,
                              TimePoint now);

    void onSent(const BackendId &replica);
    void onEnded(const BackendId &replica, const AttemptEnded &ended, TimePoint now);
    void dump(nlohmann::json &out) const;

private:
    struct State
    {
        std::uint32_t inFlight = 0;
        std::uint32_t failuresInRow = 0; ///< Ends that tell of a replica that can't be reached.
        TimePoint avoidUntil;
        bool leaving = false; ///< It said so itself; the instance list lags.
    };

    std::vector<const BackendView *> candidates(const ServiceName &service,
                                                const std::vector<BackendId> &tried) const;

    PartContext m_context;
    std::map<BackendId, State> m_states;
};

} // namespace comfrey
