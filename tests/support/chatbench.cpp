// One ChatPart with hand-set views.
#include "support/chatbench.h"

#include <algorithm>
#include <stdexcept>

#include "support/testsettings.h"

namespace comfrey::test {

namespace {

std::string numbered(const std::string &stem, int index)
{
    return stem + (index < 10 ? "00" : index < 100 ? "0" : "") + std::to_string(index);
}

} // namespace

FixedFleet::FixedFleet(const std::string &self, int routers, int engines, std::uint32_t slots)
    : m_self(self)
{
    for (int index = 0; index < routers; ++index) {
        RouterView router;
        router.id = RouterId(numbered("router", index));
        router.peerAddress = Endpoint(router.id.value() + ":1");
        m_routers.push_back(router);
    }
    for (int index = 0; index < engines; ++index) {
        BackendView engine;
        engine.id = BackendId(numbered("engine", index));
        engine.address = Endpoint(engine.id.value() + ":1");
        engine.models = {ModelId("m1")};
        engine.slots = slots;
        m_backends.push_back(engine);
    }
}

const BackendView *FixedFleet::backend(const BackendId &id) const
{
    const auto found = std::find_if(m_backends.begin(), m_backends.end(),
                                    [&id](const BackendView &view) { return view.id == id; });
    return found == m_backends.end() ? nullptr : &*found;
}

void FixedFleet::setRouterState(int index, RouterState state)
{
    m_routers.at(index).state = state;
    ++m_version;
}

void FixedFleet::removeRouter(const RouterId &id)
{
    std::erase_if(m_routers, [&id](const RouterView &view) { return view.id == id; });
    ++m_version;
}

void FixedFleet::setEngineState(int index, BackendState state)
{
    m_backends.at(index).state = state;
    ++m_version;
}

FixedLists::FixedLists(int customers)
{
    for (int index = 0; index < customers; ++index) {
        const std::string number = std::to_string(index);
        PlanEntry plan;
        plan.customer = CustomerId("customer" + number);
        plan.plan = PlanId("plan" + number);
        plan.keys = {ApiKeyHash("key" + number)};
        EntitlementEntry entry;
        entry.plan = plan.plan;
        entry.models = {ModelId("m1")};
        m_lists.plans[plan.customer] = plan;
        m_lists.entitlements[entry.plan] = entry;
    }
}

const PlanEntry *FixedLists::customerOf(const ApiKeyHash &key) const
{
    for (const auto &[id, entry] : m_lists.plans) {
        if (std::find(entry.keys.begin(), entry.keys.end(), key) != entry.keys.end())
            return &entry;
    }
    return nullptr;
}

ChatBench::ChatBench(int engines, int routers, std::uint32_t slots)
    : settings(testSettings("router000", "zone1")), fleet("router000", routers, engines, slots),
      lists(3), part({settings, Incarnation(1), fleet, lists, ids, random})
{ }

void ChatBench::handle(const Event &event)
{
    Outbox out(actions);
    part.onEvent(event, now, out);
}

void ChatBench::arrive(const std::string &request, const std::string &chat, const std::string &key,
                       Tokens maxTokens, PrefixHash sharedPrefix)
{
    RequestArrived arrived;
    arrived.request = RequestId(request);
    arrived.detail.apiKey = ApiKeyHash(key);
    arrived.detail.model = ModelId("m1");
    arrived.detail.chat = ChatId(chat);
    arrived.detail.fingerprint = Fingerprint(std::hash<std::string>{}(request));
    arrived.detail.sharedPrefix = sharedPrefix;
    arrived.detail.promptTokens = 100;
    arrived.detail.maxTokens = maxTokens;
    arrived.detail.streamed = true;
    handle(arrived);
}

void ChatBench::progress(const SendToBackend &sent, Tokens tokens)
{
    handle(AttemptProgress{sent.attempt, sent.request, tokens, 0});
}

void ChatBench::end(const SendToBackend &sent, AttemptEnd how, Tokens tokens)
{
    AttemptEnded ended;
    ended.attempt = sent.attempt;
    ended.request = sent.request;
    ended.how = how;
    ended.status = how == AttemptEnd::Completed ? 200 : 0;
    ended.tokens = tokens;
    handle(ended);
}

void ChatBench::advance(Duration step)
{
    now += step;
    handle(Tick{});
}

std::vector<AnswerCaller> ChatBench::answers(const std::string &request) const
{
    std::vector<AnswerCaller> found;
    for (const Action &action : actions) {
        const auto *answer = std::get_if<AnswerCaller>(&action);
        if (answer != nullptr && answer->request == RequestId(request))
            found.push_back(*answer);
    }
    return found;
}

std::vector<SendToBackend> ChatBench::sent(const std::string &request) const
{
    std::vector<SendToBackend> found;
    for (const Action &action : actions) {
        const auto *send = std::get_if<SendToBackend>(&action);
        if (send != nullptr && send->request == RequestId(request))
            found.push_back(*send);
    }
    return found;
}

SendToBackend ChatBench::lastSent(const std::string &request) const
{
    const auto all = sent(request);
    if (all.empty())
        throw std::logic_error("request " + request + " was not sent");
    return all.back();
}

bool ChatBench::cancelled(AttemptId attempt) const
{
    return std::any_of(actions.begin(), actions.end(), [attempt](const Action &action) {
        const auto *cancel = std::get_if<CancelAttempt>(&action);
        return cancel != nullptr && cancel->attempt == attempt;
    });
}

} // namespace comfrey::test
