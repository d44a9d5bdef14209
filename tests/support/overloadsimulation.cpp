// The model of the engines' steps and of the callers.
#include "support/overloadsimulation.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace comfrey {

namespace {

constexpr double kStepMs = 3.8;
constexpr double kStepMsPerChat = 0.1;
constexpr double kChunkTokens = 1024; ///< Read between two steps.
constexpr double kSlowFactor = 4;
constexpr std::size_t kQueueFactor = 3; ///< Requests that wait at an engine, by its slots.
constexpr double kDurationSmoothing = 0.05;
constexpr std::size_t kMaxTries = 4;
constexpr double kOutputSigma = 0.6;
constexpr Duration kFullRetryAfter = milliseconds(200); ///< What routers say after full engines.
constexpr double kCopyTokens = 1000; ///< Time to copy a prompt from another engine, as tokens.

const ServiceName &service()
{
    static const ServiceName name("model");
    return name;
}

double inMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

Duration fromMs(double ms)
{
    return Duration(static_cast<std::int64_t>(ms * 1000));
}

PlacementLoad withHotOrganisation(const OverloadLoad &load)
{
    PlacementLoad placement = load.placement;
    double all = 0;
    for (std::size_t index = 0; index < load.organisations; ++index)
        all += 1 / static_cast<double>(index + 1);
    const double usual = 1 / static_cast<double>(load.hotOrganisation + 1) / all;
    placement.hotFactor *= 1 + usual * (load.hotOrganisationFactor - 1);
    return placement;
}

} // namespace

OverloadCounts OverloadResult::all() const
{
    OverloadCounts sum;
    for (const OverloadCounts &kind : kinds) {
        sum.asked += kind.asked;
        sum.onTime += kind.onTime;
        sum.late += kind.late;
        sum.refused += kind.refused;
        sum.cut += kind.cut;
    }
    return sum;
}

double OverloadResult::worstOrganisation() const
{
    double worst = 1;
    for (const OverloadCounts &organisation : organisations) {
        if (organisation.asked >= 50)
            worst = std::min(worst, organisation.servedShare() / all().servedShare());
    }
    return worst;
}

std::string OverloadResult::summary() const
{
    std::ostringstream text;
    for (const OverloadCounts &kind : kinds)
        text << "asked " << kind.asked << " on time " << kind.onTimeShare() << " served "
             << kind.servedShare() << " refused " << kind.refused << " cut " << kind.cut << " slow "
             << kind.slow << "; ";
    text << "worst organisation " << worstOrganisation() << ", longest refusal "
         << inMs(longestRefusal) << " ms, work late or cut " << wastedWorkShare << " (cut "
         << cutWorkShare << "), urgent work " << urgentWorkShare << ", refused with room "
         << refusedWithRoom << ", in calm " << calmRefused;
    return text.str();
}

OverloadSimulation::OverloadSimulation(const OverloadLoad &load, const ReplicaChooser &chooser)
    : PlacementSimulation(withHotOrganisation(load), chooser), m_overload(load),
      m_decisions(load.placement.routers), m_working(load.placement.engines)
{
    for (std::size_t index = 0; index < m_decisions.size(); ++index)
        m_decisions[index].admission =
            std::make_unique<ShareAdmission>(load.placement.seed * 1000 + index);
    m_result.kinds.resize(m_load.kinds.size());
    m_result.organisations.resize(load.organisations);
}

OverloadResult OverloadSimulation::runOverload()
{
    const TimePoint start(milliseconds(1000));
    schedule(start + m_load.hotFromOffset, [this](TimePoint at) { setHot(true, at); });
    schedule(start + m_load.hotUntilOffset, [this](TimePoint at) { setHot(false, at); });
    runSteps();
    const double hotMs = inMs(m_load.hotUntilOffset - m_load.hotFromOffset);
    const double slots =
        m_load.slots * static_cast<double>(m_load.engines) * (1 - m_overload.downShare);
    m_result.urgentWorkShare = m_urgentWork / (hotMs * slots);
    m_result.wastedWorkShare = m_work > 0 ? m_wasted / m_work : 0;
    m_result.cutWorkShare = m_work > 0 ? m_cutWork / m_work : 0;
    return m_result;
}

void OverloadSimulation::setHot(bool isHotPhase, TimePoint now)
{
    const auto count = static_cast<double>(m_working.size());
    for (std::size_t engine = 0; engine < m_working.size(); ++engine) {
        const auto place = static_cast<double>(engine * 7 % m_working.size()) / count;
        WorkingEngine &working = m_working[engine];
        working.isDown = isHotPhase && place < m_overload.downShare;
        working.isSlow = isHotPhase && place >= 1 - m_overload.slowShare;
        if (!working.isDown)
            continue;
        // What ran there has no part in the result; its callers did nothing wrong.
        for (auto *list : {&working.waiting, &working.running}) {
            for (const std::size_t call : *list) {
                m_calls[call].stage = Stage::Ended;
                m_routers[m_calls[call].chat.router].replicas[engine]->load.onRequestEnded();
            }
            list->clear();
        }
        working.prompts.clear();
    }
    (void)now;
}

void OverloadSimulation::sendChat(Chat chat, TimePoint now)
{
    Call call;
    call.chat = chat;
    call.firstSentAt = now;
    call.deadline = now + m_overload.callers[chat.kind].timeLimit;
    call.isCounted = isHot(now);
    std::vector<double> weights;
    for (std::size_t index = 0; index < m_overload.organisations; ++index)
        weights.push_back(1 / static_cast<double>(index + 1)
                          * (isHot(now) && index == m_overload.hotOrganisation
                                 ? m_overload.hotOrganisationFactor
                                 : 1));
    call.organisation =
        std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
    const ChatKind &kind = m_load.kinds[chat.kind];
    std::normal_distribution<double> spread(-kOutputSigma * kOutputSigma / 2, kOutputSigma);
    call.ungenerated = std::max(1.0, kind.outputTokens * std::exp(spread(m_random)));
    if (call.isCounted) {
        ++m_result.kinds[chat.kind].asked;
        ++m_result.organisations[call.organisation].asked;
        if (m_overload.callers[chat.kind].priority == 0)
            m_urgentWork += call.ungenerated * (kStepMs + kStepMsPerChat * m_load.slots);
    }
    m_calls.push_back(std::move(call));
    const std::size_t id = m_calls.size() - 1;
    schedule(m_calls[id].deadline, [this, id](TimePoint at) { onDeadline(id, at); });
    ask(id, now);
}

RequestFacts OverloadSimulation::facts(const Call &call) const
{
    const ChatKind &kind = m_load.kinds[call.chat.kind];
    RequestFacts request;
    request.prompt = {{call.chat.prompt, static_cast<Tokens>(kind.promptTokens)},
                      {1, static_cast<Tokens>(kind.ownTokens)}};
    request.promptTokens = static_cast<Tokens>(kind.promptTokens + kind.ownTokens);
    request.maxOutputTokens = static_cast<Tokens>(4 * kind.outputTokens);
    return request;
}

EngineRoom OverloadSimulation::room(const Router &router, const RouterDecisions &decisions,
                                    TimePoint now) const
{
    EngineRoom room;
    for (std::size_t engine = 0; engine < m_working.size(); ++engine) {
        if (m_working[engine].isDown)
            continue;
        const ReplicaLoad &load = router.replicas[engine]->load;
        room.load += load.estimate(now);
        room.slots += load.slots();
        room.local += load.localInFlight();
    }
    room.meanSlotTime = Duration(static_cast<std::int64_t>(decisions.slotTimeUs));
    return room;
}

double OverloadSimulation::takenShare() const
{
    double taken = 0;
    double slots = 0;
    for (const WorkingEngine &engine : m_working) {
        taken += static_cast<double>(engine.running.size() + engine.waiting.size());
        slots += engine.isDown ? 0 : m_load.slots;
    }
    return taken / slots;
}

void OverloadSimulation::ask(std::size_t id, TimePoint now)
{
    Call &call = m_calls[id];
    if (call.stage != Stage::Asking)
        return;
    RouterDecisions &decisions = m_decisions[call.chat.router];
    if (!m_overload.hasAdmission) {
        place(id, now);
        return;
    }
    const CallerKind &caller = m_overload.callers[call.chat.kind];
    EngineAsk request;
    request.id = std::to_string(id) + (call.hasReturned ? "r" : "");
    request.service = service();
    request.priority = caller.priority;
    request.organisation = 'o' + std::to_string(call.organisation);
    request.arrivedAt = call.chat.at;
    request.age = call.chat.at - call.firstSentAt;
    request.objective = m_load.kinds[call.chat.kind].firstTokenObjective;
    request.deadline = call.deadline;
    request.work = decisions.work.estimate('k' + std::to_string(call.chat.kind), facts(call));
    const EngineVerdict verdict =
        decisions.admission->ask(request, room(m_routers[call.chat.router], decisions, now), now);
    switch (verdict.answer) {
    case EngineVerdict::Answer::Send:
        place(id, now);
        return;
    case EngineVerdict::Answer::Hold:
        schedule(verdict.askAgainAt, [this, id](TimePoint at) { ask(id, at); });
        return;
    case EngineVerdict::Answer::Refuse:
        refuse(id, verdict.retryAfter, now);
        return;
    }
}

void OverloadSimulation::refuse(std::size_t id, Duration retryAfter, TimePoint now)
{
    Call &call = m_calls[id];
    m_result.longestRefusal = std::max(m_result.longestRefusal, now - call.chat.at);
    m_result.refusedWithRoom += takenShare() < 0.5 ? 1 : 0;
    m_result.calmRefused += now - TimePoint(milliseconds(1000)) < m_load.hotFromOffset ? 1 : 0;
    if (std::exchange(call.hasReturned, true)) {
        finish(id, &OverloadCounts::refused, now);
        return;
    }
    const TimePoint returnAt = now + std::min(retryAfter, (call.deadline - now) / 3);
    schedule(returnAt, [this, id](TimePoint at) {
        Call &returned = m_calls[id];
        if (returned.stage != Stage::Asking)
            return;
        returned.chat.router = m_random() % m_routers.size();
        returned.chat.at = at;
        returned.tried.clear();
        ask(id, at);
    });
}

void OverloadSimulation::place(std::size_t id, TimePoint now)
{
    Call &call = m_calls[id];
    Router &router = m_routers[call.chat.router];
    const RequestFacts request = facts(call);
    ChoiceInput input;
    for (std::size_t engine = 0; engine < m_working.size(); ++engine) {
        const auto &replica = router.replicas[engine];
        if (m_working[engine].isDown)
            continue;
        input.alive.push_back(replica);
        if (std::find(call.tried.begin(), call.tried.end(), replica->incarnation)
            == call.tried.end())
            input.replicas.push_back(replica);
    }
    input.tieBreak = m_random();
    call.chat.promptHash = promptHash(request);
    input.promptRequests = fleetPromptRequests(router, call.chat.promptHash);
    const Choice choice = m_chooser.choose(request, input, now);
    call.chat.engine = choice.replica->incarnationHash;
    WorkingEngine &engine = m_working[call.chat.engine];
    call.tried.push_back(choice.replica->incarnation);
    if (engine.waiting.size() >= kQueueFactor * m_load.slots) {
        if (call.tried.size() < kMaxTries)
            place(id, now);
        else
            refuse(id, kFullRetryAfter, now);
        return;
    }
    choice.replica->load.onRequestSent();
    ++router.localPrompts[call.chat.promptHash];
    call.stage = Stage::Waiting;
    call.sentAt = now;
    const auto priority = [this](std::size_t other) {
        return m_overload.callers[m_calls[other].chat.kind].priority;
    };
    const auto place =
        std::find_if(engine.waiting.begin(), engine.waiting.end(),
                     [&](std::size_t other) { return priority(id) < priority(other); });
    engine.waiting.insert(place, id);
    if (!engine.isStepping)
        startStep(call.chat.engine, now);
}

void OverloadSimulation::startStep(std::size_t index, TimePoint now)
{
    WorkingEngine &engine = m_working[index];
    while (!engine.waiting.empty() && engine.running.size() < m_load.slots) {
        const std::size_t id = engine.waiting.front();
        engine.waiting.erase(engine.waiting.begin());
        Call &call = m_calls[id];
        const ChatKind &kind = m_load.kinds[call.chat.kind];
        call.stage = Stage::Reading;
        call.unreadTokens = kind.ownTokens
            + (engine.prompts.insert(call.chat.prompt).second
                   ? std::min(kind.promptTokens, kCopyTokens)
                   : 0);
        engine.running.push_back(id);
    }
    engine.isStepping = !engine.running.empty();
    if (!engine.isStepping)
        return;
    std::vector<std::size_t> generating;
    std::size_t reading = m_calls.size();
    for (const std::size_t id : engine.running) {
        if (m_calls[id].stage == Stage::Generating)
            generating.push_back(id);
        else if (reading == m_calls.size())
            reading = id;
    }
    const double read = reading == m_calls.size()
        ? 0
        : std::min(kChunkTokens, std::max(1.0, m_calls[reading].unreadTokens));
    const double ms = (kStepMs + kStepMsPerChat * static_cast<double>(engine.running.size())
                       + read / m_overload.readTokensPerMs)
        * (engine.isSlow ? kSlowFactor : 1);
    schedule(now + fromMs(ms),
             [this, index, generating = std::move(generating), reading, read, ms](TimePoint at) {
                 endStep(index, generating, reading, read, ms, at);
             });
}

void OverloadSimulation::endStep(std::size_t index, const std::vector<std::size_t> &generating,
                                 std::size_t reading, double read, double ms, TimePoint now)
{
    const double share =
        ms / static_cast<double>(generating.size() + (read > 0 ? 1 : 0)); // Of the step's time.
    if (read > 0 && m_calls[reading].stage == Stage::Reading) {
        Call &call = m_calls[reading];
        call.work += share;
        call.unreadTokens -= read;
        if (call.unreadTokens <= 0) {
            call.stage = Stage::Generating;
            call.firstTokenAt = now;
            RouterDecisions &decisions = m_decisions[call.chat.router];
            decisions.work.onFirstToken('k' + std::to_string(call.chat.kind), facts(call),
                                        now - call.sentAt);
            decisions.admission->onFirstToken(
                service(),
                inMs(now - call.sentAt) / inMs(m_load.kinds[call.chat.kind].firstTokenObjective),
                now);
        }
    }
    for (const std::size_t id : generating) {
        Call &call = m_calls[id];
        if (call.stage != Stage::Generating)
            continue;
        call.work += share;
        if (--call.ungenerated > 0)
            continue;
        const bool isOnTime = call.firstTokenAt - call.firstSentAt
            <= m_load.kinds[call.chat.kind].firstTokenObjective;
        RouterDecisions &decisions = m_decisions[call.chat.router];
        const auto slotTime = static_cast<double>((now - call.sentAt).count());
        decisions.slotTimeUs += (decisions.slotTimeUs == 0 ? 1 : kDurationSmoothing)
            * (slotTime - decisions.slotTimeUs);
        decisions.work.onAnswerEnded('k' + std::to_string(call.chat.kind), facts(call),
                                     now - call.sentAt);
        finish(id, isOnTime ? &OverloadCounts::onTime : &OverloadCounts::late, now);
    }
    startStep(index, now);
}

void OverloadSimulation::leaveEngine(std::size_t id)
{
    Call &call = m_calls[id];
    if (call.stage == Stage::Asking || call.stage == Stage::Ended)
        return;
    WorkingEngine &engine = m_working[call.chat.engine];
    std::erase(engine.waiting, id);
    std::erase(engine.running, id);
    Router &router = m_routers[call.chat.router];
    router.replicas[call.chat.engine]->load.onRequestEnded();
    if (--router.localPrompts[call.chat.promptHash] == 0)
        router.localPrompts.erase(call.chat.promptHash);
}

void OverloadSimulation::onDeadline(std::size_t id, TimePoint now)
{
    if (m_calls[id].stage != Stage::Ended)
        finish(id, &OverloadCounts::cut, now);
}

void OverloadSimulation::finish(std::size_t id, std::size_t OverloadCounts::*outcome, TimePoint)
{
    leaveEngine(id);
    Call &call = m_calls[id];
    call.stage = Stage::Ended;
    if (!call.isCounted)
        return;
    ++(m_result.kinds[call.chat.kind].*outcome);
    ++(m_result.organisations[call.organisation].*outcome);
    m_work += call.work;
    // An attempt is late if its own first token came late; a caller who returned knew that.
    const bool isLate = call.firstTokenAt != TimePoint::min()
        && call.firstTokenAt - call.chat.at > m_load.kinds[call.chat.kind].firstTokenObjective;
    m_result.kinds[call.chat.kind].slow += isLate ? 1 : 0;
    m_wasted += outcome == &OverloadCounts::cut || isLate ? call.work : 0;
    m_cutWork += outcome == &OverloadCounts::cut ? call.work : 0;
}

} // namespace comfrey
