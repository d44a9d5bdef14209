// Policies that choose the servers of requests in ServiceQueueSimulation.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/replicachooser.h"
#include "dispatch/servicequeue.h"
#include "support/servicequeuesimulation.h"

namespace comfrey {

/// Each router chooses by its local requests and the latest update about the remote requests.
class LocalPlacementPolicy : public ServicePolicy
{
public:
    explicit LocalPlacementPolicy(const ServiceSimulationConfig &config)
    {
        for (std::size_t router = 0; router < config.routers; ++router) {
            auto &replicas = m_replicas.emplace_back();
            for (std::size_t server = 0; server < config.servers; ++server) {
                auto replica = std::make_shared<Replica>();
                replica->incarnation = std::to_string(server);
                replica->load.setSlots(config.slots);
                replicas.push_back(std::move(replica));
            }
        }
        m_totalInFlight.resize(config.servers);
    }

    void onRequest(ServiceQueueSimulation &simulation, std::size_t request, TimePoint now) override
    {
        if (!std::exchange(m_sendsUpdates, true))
            shareLoads(simulation, now);
        placeRequest(simulation, request, now);
    }

    void onEnd(ServiceQueueSimulation &, std::size_t request, bool wasExecuted,
               TimePoint now) override
    {
        Attempt &attempt = m_attempts[request];
        const std::shared_ptr<Replica> replica = attempt.replica;
        replica->load.onRequestEnded();
        --m_totalInFlight[std::stoul(replica->incarnation)];
        if (wasExecuted)
            replica->health.onAnswer(now - attempt.sentAt, now);
        else
            replica->health.onAbandoned(Duration(0), Duration(0), 0, now);
    }

private:
    struct Attempt
    {
        std::shared_ptr<Replica> replica;
        TimePoint sentAt;
    };

    static constexpr Duration kUpdateInterval = milliseconds(300); ///< As between real routers.

    void placeRequest(ServiceQueueSimulation &simulation, std::size_t request, TimePoint now)
    {
        const std::size_t router = simulation.request(request).router;
        ChoiceInput input;
        input.replicas = m_replicas[router];
        input.tieBreak = simulation.random()();
        const auto replica = m_chooser.choose(RequestFacts(), input, now).replica;
        replica->load.onRequestSent();
        replica->health.onSent(now);
        const std::size_t server = std::stoul(replica->incarnation);
        ++m_totalInFlight[server];
        m_attempts[request] = {replica, now};
        simulation.send(request, server, now);
    }

    /// Updates what each router knows about the remote requests, now and at each interval.
    void shareLoads(ServiceQueueSimulation &simulation, TimePoint now)
    {
        for (auto &replicas : m_replicas) {
            for (std::size_t server = 0; server < replicas.size(); ++server) {
                ReplicaLoad &load = replicas[server]->load;
                load.setRemoteInFlight(
                    m_totalInFlight[server]
                        - std::min(m_totalInFlight[server], load.localInFlight()),
                    now);
            }
        }
        if (now < TimePoint(milliseconds(1000)) + simulation.config().duration)
            simulation.later(now + kUpdateInterval,
                             [this, &simulation](TimePoint then) { shareLoads(simulation, then); });
    }

    ShortestWaitChooser m_chooser;
    std::vector<std::vector<std::shared_ptr<Replica>>> m_replicas; ///< By router.
    std::vector<std::uint32_t> m_totalInFlight;                    ///< In flight, by server.
    std::map<std::size_t, Attempt> m_attempts;                     ///< By request.
    bool m_sendsUpdates = false;
};

/// One router owns the queue; the others request leases from it, one network delay away.
class SharedQueuePolicy : public ServicePolicy
{
public:
    explicit SharedQueuePolicy(const ServiceSimulationConfig &config)
    {
        std::vector<QueueServer> servers;
        for (std::uint32_t server = 0; server < config.servers; ++server)
            servers.push_back({server, config.slots});
        m_queue.setServers(servers);
    }

    void onRequest(ServiceQueueSimulation &simulation, std::size_t request, TimePoint now) override
    {
        requestLease(simulation, request, {}, now);
    }

    void onEnd(ServiceQueueSimulation &simulation, std::size_t request, bool wasExecuted,
               TimePoint now) override
    {
        release(simulation, request, wasExecuted ? LeaseOutcome::Answered : LeaseOutcome::NotRun,
                now);
    }

    void onUnreachable(ServiceQueueSimulation &simulation, std::size_t request,
                       TimePoint now) override
    {
        release(simulation, request, LeaseOutcome::Unreachable, now);
        requestLease(simulation, request,
                     {static_cast<std::uint32_t>(simulation.request(request).server)}, now);
    }

    const ServiceQueue::Counts &counts() const { return m_queue.counts(); }

private:
    void requestLease(ServiceQueueSimulation &simulation, std::size_t request,
                      std::vector<std::uint32_t> excluded, TimePoint now)
    {
        const SimulatedServiceRequest &caller = simulation.request(request);
        LeaseRequest leaseRequest;
        leaseRequest.id = ++m_lastId;
        m_requests[leaseRequest.id] = request;
        leaseRequest.organisation = caller.organisation;
        leaseRequest.priority = caller.priority;
        leaseRequest.onTimeDeadline = caller.attemptedAt + simulation.config().objective;
        leaseRequest.answerDeadline = simulation.callerDeadline(request);
        leaseRequest.isRetry = !excluded.empty();
        leaseRequest.excluded = std::move(excluded);
        leaseRequest.fingerprint = request + 1;
        leaseRequest.waited = now - caller.attemptedAt;
        simulation.later(now + simulation.config().networkDelay,
                         [this, &simulation, leaseRequest](TimePoint then) mutable {
                             leaseRequest.callerTime = leaseRequest.answerDeadline - then;
                             m_queue.enqueue(leaseRequest, then);
                             decide(simulation, then);
                         });
    }

    void release(ServiceQueueSimulation &simulation, std::size_t request, LeaseOutcome outcome,
                 TimePoint now)
    {
        const std::uint64_t lease = m_leaseIds[request];
        simulation.later(now + simulation.config().networkDelay,
                         [this, &simulation, lease, outcome](TimePoint then) {
                             m_queue.release(lease, outcome, then);
                             decide(simulation, then);
                         });
    }

    void decide(ServiceQueueSimulation &simulation, TimePoint now)
    {
        for (const LeaseDecision &decision : m_queue.decide(now)) {
            const std::size_t request = m_requests[decision.requestId];
            m_requests.erase(decision.requestId);
            m_leaseIds[request] = decision.leaseId;
            simulation.later(now + simulation.config().networkDelay,
                             [&simulation, request, decision](TimePoint then) {
                                 if (decision.leaseId == 0)
                                     simulation.refuse(request, then, decision.retryAfter);
                                 else
                                     simulation.send(request, decision.server, then);
                             });
        }
    }

    ServiceQueue m_queue;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::size_t> m_requests; ///< By id of the waiting lease request.
    std::map<std::size_t, std::uint64_t> m_leaseIds; ///< By request.
};

} // namespace comfrey
