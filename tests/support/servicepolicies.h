// Ways to place the requests of many routers at a small service, for the play of its load.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/replicachooser.h"
#include "dispatch/servicequeue.h"
#include "support/serviceplay.h"

namespace comfrey {

/// Each router places by its own requests and what it heard of the others' a while ago.
class AlonePolicy : public ServicePolicy
{
public:
    explicit AlonePolicy(const ServiceLoad &load)
    {
        for (std::size_t router = 0; router < load.routers; ++router) {
            auto &replicas = m_replicas.emplace_back();
            for (std::size_t server = 0; server < load.servers; ++server) {
                auto replica = std::make_shared<Replica>();
                replica->incarnation = std::to_string(server);
                replica->load.setSlots(load.slots);
                replicas.push_back(std::move(replica));
            }
        }
        m_total.resize(load.servers);
    }

    void onRequest(ServicePlay &play, std::size_t request, TimePoint now) override
    {
        if (!std::exchange(m_isTelling, true))
            tell(play, now);
        place(play, request, now);
    }

    void onEnd(ServicePlay &, std::size_t request, bool wasRun, TimePoint now) override
    {
        Sending &sending = m_sendings[request];
        const std::shared_ptr<Replica> replica = sending.replica;
        replica->load.onRequestEnded();
        --m_total[std::stoul(replica->incarnation)];
        if (wasRun)
            replica->health.onAnswer(now - sending.at, now);
        else
            replica->health.onAbandoned(Duration(0), Duration(0), 0, now);
    }

private:
    struct Sending
    {
        std::shared_ptr<Replica> replica;
        TimePoint at;
    };

    static constexpr Duration kTold = milliseconds(300); ///< As routers exchange their requests.

    void place(ServicePlay &play, std::size_t request, TimePoint now)
    {
        const std::size_t router = play.request(request).router;
        ChoiceInput input;
        input.replicas = m_replicas[router];
        input.tieBreak = play.random()();
        const auto replica = m_chooser.choose(RequestFacts(), input, now).replica;
        replica->load.onRequestSent();
        replica->health.onSent(now);
        const std::size_t server = std::stoul(replica->incarnation);
        ++m_total[server];
        m_sendings[request] = {replica, now};
        play.send(request, server, now);
    }

    void tell(ServicePlay &play, TimePoint now)
    {
        for (auto &replicas : m_replicas) {
            for (std::size_t server = 0; server < replicas.size(); ++server) {
                ReplicaLoad &load = replicas[server]->load;
                load.setRemoteInFlight(
                    m_total[server] - std::min(m_total[server], load.localInFlight()), now);
            }
        }
        if (now < TimePoint(milliseconds(1000)) + play.load().length)
            play.later(now + kTold, [this, &play](TimePoint then) { tell(play, then); });
    }

    ShortestWaitChooser m_chooser;
    std::vector<std::vector<std::shared_ptr<Replica>>> m_replicas; ///< By router.
    std::vector<std::uint32_t> m_total;                            ///< In flight, by server.
    std::map<std::size_t, Sending> m_sendings;
    bool m_isTelling = false;
};

/// One router keeps the queue; the others ask it, a hop away.
class QueuePolicy : public ServicePolicy
{
public:
    explicit QueuePolicy(const ServiceLoad &load)
    {
        std::vector<QueueServer> servers;
        for (std::uint32_t server = 0; server < load.servers; ++server)
            servers.push_back({server, load.slots});
        m_queue.setServers(servers);
    }

    void onRequest(ServicePlay &play, std::size_t request, TimePoint now) override
    {
        PlaceWish entry;
        entry.id = request;
        entry.organisation = play.request(request).organisation;
        entry.onTimeUntil = now + play.load().objective;
        entry.until = now + play.load().limit;
        play.later(now + play.load().hop, [this, &play, entry](TimePoint then) {
            m_queue.add(entry, then);
            decide(play, then);
        });
    }

    void onEnd(ServicePlay &play, std::size_t request, bool wasRun, TimePoint now) override
    {
        play.later(now + play.load().hop, [this, &play, request, wasRun](TimePoint then) {
            m_queue.end(m_places[request], wasRun ? PlaceEnd::Answered : PlaceEnd::NotRun, then);
            decide(play, then);
        });
    }

private:
    void decide(ServicePlay &play, TimePoint now)
    {
        for (const PlaceDecision &decision : m_queue.decide(now)) {
            const std::size_t request = decision.wish;
            m_places[request] = decision.place;
            play.later(now + play.load().hop, [&play, request, decision](TimePoint then) {
                if (decision.place == 0)
                    play.refuse(request, then);
                else
                    play.send(request, decision.server, then);
            });
        }
    }

    ServiceQueue m_queue;
    std::map<std::size_t, std::uint64_t> m_places;
};

} // namespace comfrey
