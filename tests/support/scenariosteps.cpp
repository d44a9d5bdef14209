// The steps of scenarios. Each reads its keys at once and schedules what it does.
#include "support/changes.h"
#include "support/scenario.h"

namespace comfrey::test {

namespace {

const std::map<std::string, ServiceFault> &serviceFaults()
{
    static const std::map<std::string, ServiceFault> all = {
        {"none", ServiceFault::None},
        {"refuse", ServiceFault::Refuse},
        {"hang", ServiceFault::Hang},
        {"crash-before-run", ServiceFault::CrashBeforeRun},
        {"crash-after-run", ServiceFault::CrashAfterRun}};
    return all;
}

} // namespace

const std::map<std::string, ScenarioRun::Step> &ScenarioRun::steps()
{
    static const std::map<std::string, Step> all = {{"chats", &ScenarioRun::chats},
                                                    {"calls", &ScenarioRun::calls},
                                                    {"crash", &ScenarioRun::crash},
                                                    {"restart", &ScenarioRun::restart},
                                                    {"flap", &ScenarioRun::flap},
                                                    {"pause", &ScenarioRun::pause},
                                                    {"leave", &ScenarioRun::leave},
                                                    {"stop", &ScenarioRun::stop},
                                                    {"engine", &ScenarioRun::engineFault},
                                                    {"service", &ScenarioRun::serviceFault},
                                                    {"log", &ScenarioRun::logFault},
                                                    {"net", &ScenarioRun::netFault},
                                                    {"cut", &ScenarioRun::cut},
                                                    {"heal", &ScenarioRun::heal},
                                                    {"instances", &ScenarioRun::instances},
                                                    {"publish", &ScenarioRun::publish}};
    return all;
}

std::string ScenarioRun::routerFor(const std::string &wanted, std::int64_t turn) const
{
    if (wanted != "*")
        return wanted;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        const std::string &id = m_routers[(static_cast<std::size_t>(turn) + i) % m_routers.size()];
        if (m_fleet.isRunning(id))
            return id;
    }
    return m_routers.front();
}

void ScenarioRun::submit(const std::string &router, const std::string &group,
                         const Submission &submission)
{
    m_groups[group].push_back(m_fleet.submit(router, submission));
}

// "*" stands for the platform's balancer: the next running router.
void ScenarioRun::chats(ScenarioTable &step, TimePoint at)
{
    const std::string router = step.text("router", "*");
    const std::string group = step.text("group", "chats");
    const std::int64_t chatCount = step.number("chats", 1000000);
    Submission submission;
    submission.detail = chatRequest(step.text("customer", "c1"), "");
    submission.outputTokens = static_cast<Tokens>(step.number("output_tokens", 20));
    submission.crashesBackend = step.flag("crashes_backend");
    const std::string customer = step.text("customer", "c1");
    const std::int64_t count = step.number("count", 1);
    const Duration every = step.time("every_ms", 10);
    const std::uint64_t series = ++m_lastName;
    for (std::int64_t i = 0; i < count; ++i) {
        const std::string chat = std::to_string(series) + "-" + std::to_string(i % chatCount);
        submission.detail.chat = ChatId(chat);
        submission.detail.fingerprint = chatRequest(customer, chat).fingerprint;
        m_fleet.queue().at(at + every * i, [this, router, group, submission, i] {
            submit(routerFor(router, i), group, submission);
        });
    }
}

// Each key is sent `repeats` times, to routers in turn, `repeat_after_ms` apart.
void ScenarioRun::calls(ScenarioTable &step, TimePoint at)
{
    const std::string router = step.text("router", "*");
    const std::string group = step.text("group", "calls");
    const std::string customer = step.text("customer", "c1");
    const std::int64_t count = step.number("count", 1);
    const std::int64_t repeats = step.number("repeats", 1);
    const Duration every = step.time("every_ms", 10);
    const Duration repeatAfter = step.time("repeat_after_ms", 0);
    const std::uint64_t series = ++m_lastName;
    for (std::int64_t i = 0; i < count; ++i) {
        const TimePoint due = at + every * i;
        const auto issued =
            std::chrono::duration_cast<std::chrono::milliseconds>(due.time_since_epoch());
        const std::string key =
            std::to_string(issued.count()) + "-" + std::to_string(series) + "-" + std::to_string(i);
        Submission submission;
        submission.detail = callRequest(customer, key);
        for (std::int64_t copy = 0; copy < repeats; ++copy) {
            m_fleet.queue().at(due + repeatAfter * copy,
                               [this, router, group, submission, turn = i + copy] {
                                   submit(routerFor(router, turn), group, submission);
                               });
        }
    }
}

void ScenarioRun::crash(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    m_fleet.queue().at(at, [this, what] {
        if (what.front() == 'r')
            m_fleet.killRouter(what);
        else
            m_fleet.crashBackend(what);
    });
}

void ScenarioRun::restart(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    m_fleet.queue().at(at, [this, what] {
        if (what.front() == 'r')
            m_fleet.restartRouter(what);
        else
            m_fleet.restartBackend(what);
    });
}

void ScenarioRun::flap(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    const std::int64_t times = step.number("times", 3);
    const Duration every = step.time("every_ms", 500);
    for (std::int64_t i = 0; i < times; ++i) {
        m_fleet.queue().at(at + every * (2 * i), [this, what] { m_fleet.crashBackend(what); });
        m_fleet.queue().at(at + every * (2 * i + 1),
                           [this, what] { m_fleet.restartBackend(what); });
    }
}

void ScenarioRun::pause(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    const Duration length = step.time("for_ms", 3000);
    m_fleet.queue().at(at, [this, what] { m_fleet.pauseRouter(what); });
    m_fleet.queue().at(at + length, [this, what] { m_fleet.resumeRouter(what); });
}

void ScenarioRun::leave(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    const bool silent = step.flag("silent");
    m_fleet.queue().at(at, [this, what, silent] {
        m_fleet.leaveBackend(what);
        if (silent) {
            m_fleet.engine(what).faults().leaving = false;
            m_fleet.engine(what).faults().ignoresLeaving = true;
        }
    });
}

void ScenarioRun::stop(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    m_fleet.queue().at(at, [this, what] { m_fleet.stopRouter(what); });
}

void ScenarioRun::engineFault(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    const double slow = step.ratio("slow", 1);
    const bool refuse = step.flag("refuse");
    m_fleet.queue().at(at, [this, what, slow, refuse] {
        m_fleet.engine(what).faults().slow = slow;
        m_fleet.engine(what).faults().refuse = refuse;
    });
}

void ScenarioRun::serviceFault(ScenarioTable &step, TimePoint at)
{
    const std::string what = step.text("what");
    const std::string name = step.text("fault", "none");
    const Duration late = step.time("late_ms");
    const auto fault = serviceFaults().find(name);
    if (fault == serviceFaults().end()) {
        m_faults.push_back("unknown fault \"" + name + "\" of a service");
        return;
    }
    m_fleet.queue().at(at, [this, what, kind = fault->second, late] {
        m_fleet.service(what).faults().fault = kind;
        m_fleet.service(what).faults().lateBy = late;
    });
}

// States all faults of the log: those that are left out end.
void ScenarioRun::logFault(ScenarioTable &step, TimePoint at)
{
    LogFaults faults;
    faults.down = step.flag("down");
    faults.delay = step.time("delay_ms", 2);
    faults.loseAnswers = step.ratio("lose_answers");
    faults.losesAppends = step.ratio("lose_appends");
    faults.doublesAppends = step.ratio("double_appends");
    faults.lateAppends = step.ratio("late_appends");
    faults.lateBy = step.time("late_ms", 3000);
    faults.oldReads = step.time("old_reads_ms");
    m_fleet.queue().at(at, [this, faults] { m_fleet.log().faults() = faults; });
}

void ScenarioRun::netFault(ScenarioTable &step, TimePoint at)
{
    NetFaults faults;
    faults.loss = step.ratio("loss");
    faults.doubles = step.ratio("doubles");
    faults.reorders = step.ratio("reorders");
    m_fleet.queue().at(at, [this, faults] { m_fleet.net().faults() = faults; });
}

void ScenarioRun::cut(ScenarioTable &step, TimePoint at)
{
    const std::set<std::string> one = step.names("one");
    const std::set<std::string> other = step.names("other");
    m_fleet.queue().at(at, [this, one, other] { m_fleet.net().cut(one, other); });
}

void ScenarioRun::heal(ScenarioTable &step, TimePoint at)
{
    (void)step;
    m_fleet.queue().at(at, [this] { m_fleet.net().heal(); });
}

void ScenarioRun::instances(ScenarioTable &step, TimePoint at)
{
    const bool down = step.flag("down");
    const Duration lag = step.time("lag_ms", 1000);
    m_fleet.queue().at(at, [this, down, lag] {
        m_fleet.instances().setDown(down);
        m_fleet.instances().setLag(lag);
    });
}

// Without `based_on` the customer is a new one. `loses` says that another change overtakes it.
void ScenarioRun::publish(ScenarioTable &step, TimePoint at)
{
    const std::string customer = step.text("customer", "c9");
    const auto share = static_cast<std::uint32_t>(step.number("share", 1));
    const auto basedOn = static_cast<std::uint64_t>(step.number("based_on"));
    const bool loses = step.flag("loses");
    const std::string id = "step-" + std::to_string(++m_lastName);
    m_fleet.queue().at(at, [this, customer, share, basedOn, loses, id] {
        record::ChangeT value = change(id, {plan(customer, "gold", share)});
        basePlanOn(value, customer, basedOn);
        m_fleet.publish(std::move(value));
        if (!loses)
            m_config.published(m_fleet.queue().now());
    });
}

} // namespace comfrey::test
