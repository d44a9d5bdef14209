// Several ChatParts that exchange messages under scripted time.
#include "support/chatfleet.h"

#include <algorithm>
#include <cmath>

#include "support/testsettings.h"
#include "wire/envelope.h"

namespace comfrey::test {

namespace {

constexpr std::size_t kPacketOverheadBytes = 66; ///< Ethernet, IPv4 and TCP headers.
constexpr std::uint32_t kLateMicroseconds = 50000;

std::string routerName(int index)
{
    std::string number = std::to_string(index);
    return "router" + std::string(3 - number.size(), '0') + number;
}

} // namespace

ChatFleet::Node::Node(const ChatFleetOptions &options, int index)
    : settings(testSettings(routerName(index), "zone1")),
      fleet(routerName(index), options.routers, options.engines, options.slots), lists(10),
      random(options.seed * 1000 + index)
{
    settings.placement.policy = options.policy;
    for (auto &[customer, plan] : lists.change().plans)
        plan.contract.firstToken = options.contract;
    for (auto &[plan, entry] : lists.change().entitlements) {
        entry.limits.requestsInFlight = 100000;
        entry.limits.requestsPerSecond = options.requestsPerSecond;
    }
}

ChatFleet::ChatFleet(const ChatFleetOptions &options)
    : m_options(options), m_random(options.seed), m_engines(options.engines)
{
    for (int index = 0; index < options.routers; ++index) {
        m_nodes.push_back(std::make_unique<Node>(options, index));
        Node &node = *m_nodes.back();
        node.part = std::make_unique<ChatPart>(PartContext{
            node.settings, Incarnation(1), node.fleet, node.lists, node.ids, node.random});
    }
    int engine = 0;
    for (const BackendView &view : m_nodes.front()->fleet.backends())
        m_engineIndex[view.id] = engine++;
    for (int index = 0; index < options.routers; ++index)
        handle(index, Tick{});
}

bool ChatFleet::happens(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

template<typename Call>
void ChatFleet::with(int router, Call call)
{
    Node &node = *m_nodes.at(router);
    if (node.part == nullptr)
        return;
    std::vector<Action> actions;
    Outbox out(actions);
    call(*node.part, out);
    for (auto &[to, messages] : out.takeMessages()) {
        wire::EnvelopeT envelope;
        envelope.sender = node.settings.router.id;
        envelope.messages = std::move(messages);
        post(router, to, encodeEnvelope(envelope));
    }
    for (const Action &action : actions)
        perform(router, action);
    scheduleTick(router);
}

void ChatFleet::handle(int router, const Event &event)
{
    with(router, [&](ChatPart &part, Outbox &out) { part.onEvent(event, m_queue.now(), out); });
}

void ChatFleet::scheduleTick(int router)
{
    Node &node = *m_nodes.at(router);
    const TimePoint due = node.part->nextWakeUp();
    if (due == kNever || (node.tickAt > m_queue.now() && node.tickAt <= due))
        return;
    node.tickAt = std::max(due, m_queue.now() + Duration(1));
    m_queue.at(node.tickAt, [this, router, at = node.tickAt] {
        if (m_nodes[router]->tickAt == at)
            handle(router, Tick{});
    });
}

void ChatFleet::post(int, const RouterId &to, const Bytes &payload)
{
    ++m_messages;
    m_messageBytes += payload.size() + kPacketOverheadBytes;
    const int router = std::stoi(to.value().substr(6));
    if (happens(m_options.loss))
        return;
    const int copies = happens(m_options.doubles) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        Duration delay = m_options.oneWay;
        if (happens(m_options.delays))
            delay += Duration(m_random() % kLateMicroseconds);
        m_queue.after(delay, [this, router, payload] { deliver(router, payload); });
    }
}

void ChatFleet::deliver(int router, const Bytes &payload)
{
    const auto envelope = decodeEnvelope(payload);
    with(router, [&](ChatPart &part, Outbox &out) {
        for (const auto &message : envelope->messages)
            part.onMessage(RouterId(envelope->sender), *message, m_queue.now(), out);
    });
}

void ChatFleet::arrive(int router, const std::string &chat, Tokens outputTokens,
                       const std::string &key, bool crashes)
{
    const RequestId id("q" + std::to_string(++m_lastRequest));
    m_callers[id] = {router, chat, key, outputTokens, crashes, m_queue.now(), {}, {}, {}, {}};
    RequestArrived arrived;
    arrived.request = id;
    arrived.detail.apiKey = ApiKeyHash(key);
    arrived.detail.model = ModelId("m1");
    arrived.detail.chat = ChatId(chat);
    arrived.detail.fingerprint = Fingerprint(std::hash<std::string>{}(crashes ? chat : id.value()));
    arrived.detail.promptTokens = 100;
    arrived.detail.maxTokens = outputTokens;
    arrived.detail.streamed = true;
    handle(router, arrived);
}

int ChatFleet::engineIndex(const BackendId &id) const
{
    return m_engineIndex.at(id);
}

void ChatFleet::noteLoad(int engine)
{
    Engine &loaded = m_engines[engine];
    const auto load = static_cast<std::uint32_t>(loaded.running.size());
    loaded.highest = std::max(loaded.highest, load);
    const double mean = static_cast<double>(m_totalInFlight) / m_engines.size();
    if (mean < m_leastMean)
        return;
    m_worstMultiple = std::max(m_worstMultiple, (load - 1.0) / mean);
    m_worstExcess = std::max(m_worstExcess, load - (std::ceil(1.25 * mean) + 1));
}

void ChatFleet::perform(int router, const Action &action)
{
    if (const auto *send = std::get_if<SendToBackend>(&action)) {
        start(router, *send);
    } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
        const auto engine = m_engineOf.find({router, cancel->attempt});
        if (engine != m_engineOf.end())
            end(router, engine->second, cancel->attempt, AttemptEnd::Cancelled, 0);
    } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
        m_callers.at(answer->request).answers.push_back(*answer);
    } else if (const auto *probe = std::get_if<ProbeBackend>(&action)) {
        LoadReport report;
        report.backend = probe->backend;
        report.running = inFlight(engineIndex(probe->backend));
        report.slots = m_options.slots;
        m_queue.after(m_options.reportLag,
                      [this, router, report] { handle(router, ProbeAnswered{report}); });
    }
}

void ChatFleet::start(int router, const SendToBackend &action)
{
    const int engine = engineIndex(action.backend);
    Caller &caller = m_callers.at(action.request);
    if (caller.firstEngine.empty())
        caller.firstEngine = action.backend.value();
    m_engines[engine].running[{router, action.attempt}] = action.request;
    m_engineOf[{router, action.attempt}] = engine;
    ++m_totalInFlight;
    noteLoad(engine);
    const double factor = m_engines[engine].slow;
    const auto wait = std::chrono::duration_cast<Duration>(m_options.firstToken * factor);
    if (caller.crashes) {
        m_queue.after(wait, [this, engine, router, action] {
            if (m_engineOf.count({router, action.attempt}) == 0)
                return;
            m_callers.at(action.request).crashed.insert(engine);
            crashEngine(engine);
        });
        return;
    }
    m_queue.after(wait, [this, router, engine, action] { step(router, engine, action, 1); });
}

void ChatFleet::step(int router, int engine, const SendToBackend &action, Tokens tokens)
{
    if (m_engineOf.count({router, action.attempt}) == 0)
        return;
    Caller &caller = m_callers.at(action.request);
    if (!caller.firstToken)
        caller.firstToken = m_queue.now() - caller.arrivedAt;
    const Tokens all = caller.outputTokens - std::min(caller.outputTokens, action.resumeAt);
    if (tokens >= all)
        return end(router, engine, action.attempt, AttemptEnd::Completed, tokens);
    handle(router, AttemptProgress{action.attempt, action.request, tokens, 0});
    const Tokens next = std::min<Tokens>(all, tokens == 1 ? 16 : tokens + 16);
    const auto wait = m_options.perToken * (next - tokens) * m_engines[engine].slow;
    m_queue.after(std::chrono::duration_cast<Duration>(wait),
                  [this, router, engine, action, next] { step(router, engine, action, next); });
}

void ChatFleet::end(int router, int engine, AttemptId attempt, AttemptEnd how, Tokens tokens)
{
    const auto running = m_engines[engine].running.find({router, attempt});
    if (running == m_engines[engine].running.end())
        return;
    AttemptEnded ended;
    ended.attempt = attempt;
    ended.request = running->second;
    ended.how = how;
    ended.status = how == AttemptEnd::Completed ? 200 : 0;
    ended.tokens = tokens;
    m_engines[engine].running.erase(running);
    m_engineOf.erase({router, attempt});
    --m_totalInFlight;
    m_queue.after(m_options.oneWay, [this, router, ended] { handle(router, ended); });
}

void ChatFleet::crashEngine(int engine)
{
    ++m_crashes;
    const auto broken = m_engines[engine].running;
    for (const auto &[run, request] : broken)
        end(run.first, engine, run.second, AttemptEnd::BrokenBeforeAnswer, 0);
}

void ChatFleet::kill(int router)
{
    m_nodes[router]->part.reset();
    for (int engine = 0; engine < m_options.engines; ++engine) {
        const auto running = m_engines[engine].running;
        for (const auto &[run, request] : running) {
            if (run.first == router)
                end(router, engine, run.second, AttemptEnd::BrokenInAnswer, 0);
        }
    }
}

void ChatFleet::see(int router, int other, RouterState state)
{
    m_nodes[router]->fleet.setRouterState(other, state);
    handle(router, Tick{});
}

void ChatFleet::forgetRouter(int router, int other)
{
    m_nodes[router]->fleet.removeRouter(RouterId(routerName(other)));
    handle(router, Tick{});
}

} // namespace comfrey::test
