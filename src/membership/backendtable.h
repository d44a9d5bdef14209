// What this router believes about the back ends: the platform's lagging list, corrected by what a
// back end itself says about leaving. A back end that joins gets a growing part of its load.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "comfrey/fleet.h"
#include "comfrey/settings.h"
#include "membership/flapdamper.h"

namespace comfrey {

class BackendTable
{
public:
    explicit BackendTable(const settings::MembershipT &settings);

    /// Takes the back ends of the platform's list. Those of the first list count as live at once.
    void takeList(const std::vector<Instance> &instances, TimePoint now);

    /// The back end itself said that it is leaving.
    void noteLeaving(const BackendId &id, TimePoint now);

    /// The back end itself reported at `measuredAt` that it takes work.
    void noteServing(const BackendId &id, TimePoint measuredAt, TimePoint now);

    /// Lets time pass: ends ramps and holds, forgets what left the list long ago.
    void advance(TimePoint now);

    /// Every back end that may have requests in flight, ordered by id.
    const std::vector<BackendView> &views() const { return m_views; }
    const BackendView *find(const BackendId &id) const;

    /// Grows when views() changes.
    std::uint64_t version() const { return m_version; }

private:
    struct Known
    {
        Instance instance; ///< Newest line of the list.
        BackendState state = BackendState::Joining;
        TimePoint since;
        bool listed = true;
        TimePoint unlistedAt;                   ///< Meaningful while it is not listed.
        std::optional<TimePoint> saidLeavingAt; ///< Its own word, until it is withdrawn.
        bool shown = false;                     ///< Whether it stands in views().
    };

    bool isPlausible(const std::vector<Instance> &instances, TimePoint now);
    bool takesWork(const Known &known, TimePoint now) const;
    void update(const BackendId &id, Known &known, TimePoint now);
    void setState(Known &known, BackendState state, TimePoint now);
    void refresh();

    const settings::MembershipT &m_settings;
    std::map<BackendId, Known> m_known;
    FlapDamper m_damper;
    std::vector<BackendView> m_views;
    std::uint64_t m_version = 0;
    bool m_hasList = false;
    TimePoint m_implausibleSince = kNever; ///< Since when the list lacks most back ends.
};

} // namespace comfrey
