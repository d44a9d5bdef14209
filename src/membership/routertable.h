// What this router believes about the others: the platform's list says who may exist, answers to
// probes and news by gossip say who runs. A silent router is suspected first and lost later; news
// with a higher incarnation or sequence clears it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfrey/fleet.h"
#include "comfrey/settings.h"
#include "generated/messages.generated.h"
#include "membership/flapdamper.h"

namespace comfrey {

class RouterTable
{
public:
    RouterTable(const settings::MembershipT &settings, RouterView self);

    /// Takes the routers of the platform's list.
    void takeList(const std::vector<Instance> &instances, TimePoint now);

    /// A heartbeat that came from its own router. Returns news for the others, if it holds any.
    std::optional<wire::HeartbeatT> hear(const RouterId &from, const wire::HeartbeatT &heartbeat,
                                         TimePoint now);

    /// News of a third router. Returns what to pass on: the same, or the proof that it is old.
    std::optional<wire::HeartbeatT> takeNews(const wire::HeartbeatT &news, TimePoint now);

    void noteProbe(const RouterId &id, TimePoint now);

    /// Lets time pass; returns news of routers that are suspected from now on.
    std::vector<wire::HeartbeatT> advance(TimePoint now);

    /// Every router believed to run, this one included, ordered by id.
    const std::vector<RouterView> &views() const { return m_views; }
    void setSelfState(RouterState state);

    /// Routers whose probe is not answered yet, in the order of ids.
    std::vector<RouterId> unanswered() const;
    /// Listed routers that did not answer for long; they may come back.
    std::vector<RouterId> lost() const;
    /// Address of a listed router, lost ones included; empty if it is not known.
    Endpoint addressOf(const RouterId &id) const;

    /// Grows when views() changes.
    std::uint64_t version() const { return m_version; }

private:
    struct Known
    {
        RouterView view;                ///< Its state is kept by refresh().
        std::uint64_t sequence = 0;     ///< Newest heartbeat of view.incarnation.
        TimePoint heardAt;              ///< Last proof that it runs.
        TimePoint probedAt = kNever;    ///< First probe that is still unanswered.
        TimePoint suspectedAt = kNever; ///< kNever while it is not suspected.
        std::uint64_t listedIn = 0;     ///< Number of the last list that it stood in.
        bool listed = true;
        bool listedLeaving = false;
        bool saidLeaving = false;
        bool lost = false;
    };

    static bool isNewer(const wire::HeartbeatT &news, const Known &known);
    static wire::HeartbeatT newsOf(const Known &known);
    /// Takes a proof of life in. Returns whether others should hear of it.
    bool takeProof(Known &known, const wire::HeartbeatT &heartbeat, TimePoint now);
    /// Takes one line of the list. Returns whether it brought a change.
    bool takeLine(Known &known, const Instance &instance) const;
    void lose(Known &known, TimePoint now);
    void refresh();

    const settings::MembershipT &m_settings;
    RouterView m_self;
    std::map<RouterId, Known> m_known; ///< Without this router.
    std::uint64_t m_listsTaken = 0;
    FlapDamper m_damper;
    std::vector<RouterView> m_views;
    std::uint64_t m_version = 0;
};

} // namespace comfrey
