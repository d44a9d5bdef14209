// One short random schedule of service calls and faults.
#include "support/callschedule.h"

#include <iostream>
#include <random>

#include "support/changes.h"
#include "support/fakefleet.h"

namespace comfrey::test {

namespace {

constexpr std::size_t kRouters = 3;
constexpr std::size_t kReplicas = 2;
constexpr Duration kStartUp = milliseconds(1200);
constexpr std::int64_t kFaultsWithinMs = 900; ///< Faults and calls begin within it.
constexpr Duration kBusyTime = milliseconds(1800);
constexpr Duration kCalmTime = milliseconds(1500);
constexpr Duration kLastTime = milliseconds(1200);

class Schedule
{
public:
    Schedule(std::uint64_t seed, bool trace) : m_random(seed), m_fleet(seed), m_trace(trace) { }

    ScheduleReport run()
    {
        setUp();
        const int keys = pick(1, 3);
        for (int key = 0; key < keys; ++key)
            m_keys.push_back(keyName(key));
        for (int faults = pick(1, 4); faults > 0; --faults)
            planFault();
        for (const std::string &key : m_keys)
            planCalls(key);
        m_fleet.runFor(kBusyTime);
        repair();
        m_fleet.runFor(kCalmTime);
        for (const std::string &key : m_keys)
            submit("r" + std::to_string(pick(1, kRouters)), key, false);
        m_fleet.runFor(kLastTime);
        return report();
    }

private:
    int pick(int low, int high) { return std::uniform_int_distribution<int>(low, high)(m_random); }
    bool chance(int percent) { return pick(1, 100) <= percent; }
    std::string randomRouter() { return "r" + std::to_string(pick(1, kRouters)); }
    std::string randomReplica() { return "s" + std::to_string(pick(1, kReplicas)); }

    std::string keyName(int number)
    {
        if (chance(30))
            return "k" + std::to_string(number);
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_fleet.queue().now().time_since_epoch());
        return std::to_string(ms.count()) + "-k" + std::to_string(number);
    }

    void setUp()
    {
        Settings &settings = m_fleet.routerSettings();
        settings.outcome.partitions = 2;
        settings.outcome.collectIntervalMs = static_cast<std::uint32_t>(pick(1, 40));
        settings.outcome.claimTimeoutMs = static_cast<std::uint32_t>(pick(200, 900));
        settings.outcome.serviceTimeoutMs = 400;
        settings.router.stopLimitMs = 1500;
        settings.membership.heartbeatIntervalMs = 400;
        settings.placement.probeIntervalMs = 60000;
        m_fleet.instances().setLag(milliseconds(0));
        for (std::size_t at = 1; at <= kReplicas; ++at) {
            ServiceOptions options;
            options.id = "s" + std::to_string(at);
            options.runTime = milliseconds(pick(1, 60));
            m_fleet.addService(options);
        }
        m_fleet.publish(change("start", {plan("c1", "gold"), plan("c2", "gold")},
                               {entitlement("gold", {}, {"dispatch"})}));
        for (std::size_t at = 1; at <= kRouters; ++at)
            m_fleet.addRouter("r" + std::to_string(at), "z" + std::to_string(at));
        m_fleet.runFor(kStartUp);
    }

    /// `begin` at a random time, `end` some time after it.
    void planSpan(const std::string &name, std::function<void()> begin, std::function<void()> end)
    {
        const Duration from = milliseconds(pick(0, kFaultsWithinMs));
        const Duration length = milliseconds(pick(1, 700));
        m_fleet.queue().after(from, [this, name, begin = std::move(begin)] {
            note("begin " + name);
            begin();
        });
        m_fleet.queue().after(from + length, [this, name, end = std::move(end)] {
            note("end " + name);
            end();
        });
    }

    void planFault()
    {
        LogFaults &log = m_fleet.log().faults();
        NetFaults &net = m_fleet.net().faults();
        const std::string router = randomRouter();
        const std::string replica = randomReplica();
        switch (pick(1, 16)) {
        case 1:
            return planSpan(
                "log down", [&log] { log.down = true; }, [&log] { log.down = false; });
        case 2:
            return planSpan(
                "lost answers", [&log] { log.loseAnswers = 0.6; }, [&log] { log.loseAnswers = 0; });
        case 3:
            return planSpan(
                "lost appends", [&log] { log.losesAppends = 0.6; },
                [&log] { log.losesAppends = 0; });
        case 4:
            return planSpan(
                "doubled appends", [&log] { log.doublesAppends = 0.6; },
                [&log] { log.doublesAppends = 0; });
        case 5:
            log.lateBy = milliseconds(pick(50, 1500));
            return planSpan(
                "late appends", [&log] { log.lateAppends = 0.6; }, [&log] { log.lateAppends = 0; });
        case 6:
            return planSpan(
                "old reads", [&log] { log.oldReads = milliseconds(150); },
                [&log] { log.oldReads = milliseconds(0); });
        case 7:
            return planSpan(
                "slow log", [&log] { log.delay = milliseconds(300); },
                [&log] { log.delay = milliseconds(2); });
        case 8:
            return planSpan(
                "lossy net", [&net] { net.loss = net.doubles = net.reorders = 0.3; },
                [&net] { net.loss = net.doubles = net.reorders = 0; });
        case 9:
        case 10:
            return planSpan(
                "kill " + router, [this, router] { m_fleet.killRouter(router); },
                [this, router] { restart(router); });
        case 11:
        case 12:
            return planSpan(
                "pause " + router, [this, router] { pause(router); },
                [this, router] { resume(router); });
        case 13:
            return planSpan(
                "crash " + replica, [this, replica] { m_fleet.crashBackend(replica); },
                [this, replica] { m_fleet.restartBackend(replica); });
        case 14:
            return planServiceFault(replica);
        case 15:
            return planSpan(
                "cut " + router, [this, router] { m_fleet.net().cut({router}, {"platform"}); },
                [this] { m_fleet.net().heal(); });
        default:
            return planSpan(
                "stop " + router, [this, router] { stop(router); },
                [this, router] { restartStopped(router); });
        }
    }

    void planServiceFault(const std::string &replica)
    {
        const auto fault = static_cast<ServiceFault>(pick(1, 4));
        ServiceFaults &faults = m_fleet.service(replica).faults();
        const Duration late = milliseconds(pick(0, 600));
        planSpan(
            "service fault " + std::to_string(static_cast<int>(fault)) + " of " + replica,
            [&faults, fault, late] {
                faults.fault = fault;
                faults.lateBy = late;
            },
            [&faults] { faults = ServiceFaults{}; });
    }

    void planCalls(const std::string &key)
    {
        for (int calls = pick(1, 4); calls > 0; --calls) {
            const std::string router = randomRouter();
            const bool otherBody = chance(8);
            const bool leaves = chance(10);
            const Duration stay = milliseconds(pick(0, 100));
            m_fleet.queue().after(milliseconds(pick(0, kFaultsWithinMs)), [=, this] {
                const RequestId id = submit(router, key, otherBody);
                if (leaves)
                    m_fleet.queue().after(stay, [this, id] { leave(id); });
            });
        }
    }

    RequestId submit(const std::string &router, const std::string &key, bool otherBody)
    {
        CallerRequest request = callRequest("c1", key);
        if (otherBody)
            request.fingerprint = Fingerprint(request.fingerprint.value() + 1);
        RequestId id = m_fleet.submit(router, request);
        note("call " + id.value() + " of " + key + " at " + router);
        return id;
    }

    void leave(const RequestId &id)
    {
        if (m_fleet.answer(id).hasEnded())
            return;
        m_fleet.leaveCaller(id);
    }

    void pause(const std::string &router)
    {
        if (m_fleet.isRunning(router))
            m_fleet.pauseRouter(router);
    }

    void resume(const std::string &router)
    {
        if (m_fleet.isRunning(router))
            m_fleet.resumeRouter(router);
    }

    void restart(const std::string &router)
    {
        if (!m_fleet.isRunning(router))
            m_fleet.restartRouter(router);
    }

    void stop(const std::string &router)
    {
        if (m_fleet.isRunning(router))
            m_fleet.stopRouter(router);
    }

    void restartStopped(const std::string &router)
    {
        if (m_fleet.isRunning(router) && m_fleet.hasStopped(router))
            m_fleet.restartRouter(router);
        restart(router);
    }

    void repair()
    {
        m_fleet.log().faults() = LogFaults{};
        m_fleet.net().faults() = NetFaults{};
        m_fleet.net().heal();
        for (std::size_t at = 1; at <= kReplicas; ++at) {
            const std::string replica = "s" + std::to_string(at);
            m_fleet.service(replica).faults() = ServiceFaults{};
            m_fleet.restartBackend(replica);
        }
        for (std::size_t at = 1; at <= kRouters; ++at) {
            resume("r" + std::to_string(at));
            restart("r" + std::to_string(at));
        }
    }

    ScheduleReport report()
    {
        ScheduleReport result;
        checkCallers(result);
        checkKeys(result);
        const Violations &seen = m_fleet.violations();
        const std::uint32_t count = seen.secondAnswers + seen.incompleteAnswers
            + seen.foreignAnswers + seen.falseNotRun + seen.repeatedAttemptIds + seen.cutByStop;
        if (count > 0)
            result.broken.insert(result.broken.end(), seen.texts.begin(), seen.texts.end());
        for (const std::string &text : result.broken)
            note("BROKEN " + text);
        return result;
    }

    void checkCallers(ScheduleReport &result)
    {
        for (const auto &[id, caller] : m_fleet.callers()) {
            ++result.calls;
            if (!caller.hasEnded())
                result.broken.push_back(id.value() + " got no answer");
            if (!caller.answer)
                continue;
            result.answered += caller.answer->outcome == Outcome::Answered;
            result.notRun += caller.answer->outcome == Outcome::NotRun;
            result.unknown += caller.answer->outcome == Outcome::Unknown;
            note("told " + id.value() + " " + std::to_string(int(caller.answer->outcome)) + " "
                 + caller.answer->text);
        }
    }

    /// A key runs at most once, and not at all if everyone was told "not run"; and when everything
    /// works again, its last caller gets a final outcome.
    void checkKeys(ScheduleReport &result)
    {
        for (const std::string &key : m_keys) {
            const auto run = m_fleet.runs().find({keyHash("key-c1"), IdempotencyKey(key)});
            const std::uint32_t runs = run == m_fleet.runs().end() ? 0 : run->second;
            result.runs += runs;
            if (runs > 1)
                result.broken.push_back(key + " ran " + std::to_string(runs) + " times");
            bool allNotRun = true;
            const CallerRecord *last = nullptr;
            for (const auto &[id, caller] : m_fleet.callers()) {
                if (caller.submission.detail.idempotencyKey.value() != key)
                    continue;
                allNotRun = allNotRun && caller.answer && caller.answer->outcome == Outcome::NotRun;
                if (last == nullptr || caller.submittedAt > last->submittedAt)
                    last = &caller;
            }
            if (allNotRun && runs > 0)
                result.broken.push_back(key + " ran, and each caller was told that it did not");
            if (last->answer && last->answer->error == CallerError::StillRunning)
                result.broken.push_back(key + " has no outcome long after its calls ended");
        }
    }

    void note(const std::string &text)
    {
        if (!m_trace)
            return;
        const auto us = m_fleet.queue().now().time_since_epoch().count();
        std::cerr << us / 1000 % 1000000 << " " << text << "\n";
    }

    std::mt19937_64 m_random;
    FakeFleet m_fleet;
    bool m_trace;
    std::vector<std::string> m_keys;
};

} // namespace

ScheduleReport runCallSchedule(std::uint64_t seed, bool trace)
{
    return Schedule(seed, trace).run();
}

} // namespace comfrey::test
