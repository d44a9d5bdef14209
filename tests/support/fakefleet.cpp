// Building, driving and breaking the fleet of facades. What a facade's actions do to the fakes is
// in fakefleetactions.cpp.
#include "support/fakefleet.h"

#include <algorithm>

#include <xxhash.h>

#include "support/testsettings.h"
#include "wire/envelope.h"

namespace comfrey::test {

namespace {

constexpr Duration kTimerGranularity = milliseconds(1);
constexpr Duration kPlatformNotices = milliseconds(5000); // until a dead instance leaves the list
constexpr std::size_t kTextsKept = 10;

} // namespace

FakeFleet::FakeFleet(std::uint64_t seed)
    : m_seed(seed), m_log(m_queue, seed ^ 1U), m_net(m_queue, seed ^ 2U), m_instances(m_queue)
{
    m_settings = testSettings("", "");
    m_net.place("platform", "z1");
}

FakeFleet::~FakeFleet() = default;

void FakeFleet::addRouter(const std::string &id, const std::string &zone)
{
    auto node = std::make_unique<Node>();
    node->id = id;
    node->settings = m_settings;
    node->settings.router.id = id;
    node->settings.router.zone = zone;
    node->settings.router.peerAddress = id + ":1";
    m_net.place(id, zone);
    m_nodeByAddress[id + ":1"] = id;
    m_instances.put(routerInstance(*node));
    Node &added = *(m_nodes[id] = std::move(node));
    boot(added);
}

Instance FakeFleet::routerInstance(const Node &node) const
{
    Instance instance;
    instance.id = node.id;
    instance.kind = InstanceKind::Router;
    instance.zone = ZoneId(node.settings.router.zone);
    instance.address = Endpoint(node.settings.router.peerAddress);
    instance.operatorAddress = Endpoint(node.id + ":2");
    return instance;
}

FakeEngine &FakeFleet::addEngine(const EngineOptions &options)
{
    auto &engine = m_engines[options.id];
    engine = std::make_unique<FakeEngine>(m_queue, *this, options);
    m_net.place(options.id, options.zone);
    m_instances.put(engine->instance());
    return *engine;
}

FakeService &FakeFleet::addService(const ServiceOptions &options)
{
    auto &service = m_services[options.id];
    service = std::make_unique<FakeService>(m_queue, *this, m_runs, options);
    m_net.place(options.id, options.zone);
    m_instances.put(service->instance());
    return *service;
}

FakeBackend *FakeFleet::backend(const std::string &id) const
{
    if (const auto engine = m_engines.find(id); engine != m_engines.end())
        return engine->second.get();
    if (const auto service = m_services.find(id); service != m_services.end())
        return service->second.get();
    return nullptr;
}

LogOffset FakeFleet::publish(record::ChangeT change)
{
    record::RecordT value;
    value.id = "change-" + std::to_string(++m_lastChange);
    value.writer = "test";
    auto item = std::make_unique<record::ItemT>();
    item->entry.Set(std::move(change));
    value.items.push_back(std::move(item));
    return m_log.appendNow(StreamId("config"), encodeRecord(value));
}

RequestId FakeFleet::submit(const std::string &router, const CallerRequest &request)
{
    Submission submission;
    submission.detail = request;
    return submit(router, submission);
}

RequestId FakeFleet::submit(const std::string &router, const Submission &submission)
{
    RequestId id("q" + std::to_string(++m_lastRequest));
    CallerRecord &caller = m_callers[id];
    caller.submission = submission;
    caller.router = RouterId(router);
    caller.submittedAt = m_queue.now();
    const Node &node = *m_nodes.at(router);
    if (node.router == nullptr) {
        caller.connectionLost = true;
        caller.endedAt = m_queue.now();
    } else {
        deliverTo(router, node.incarnation, RequestArrived{id, submission.detail});
    }
    return id;
}

void FakeFleet::leaveCaller(const RequestId &request)
{
    CallerRecord &caller = m_callers.at(request);
    caller.left = !caller.hasEnded();
    const std::string router = caller.router.value();
    deliverTo(router, m_nodes.at(router)->incarnation, CallerLeft{request});
}

void FakeFleet::boot(Node &node)
{
    ++node.incarnation;
    node.paused = false;
    node.stopped = false;
    node.backlog.clear();
    node.tickAt = kNever;
    const std::uint64_t seed = XXH64(node.id.data(), node.id.size(), m_seed) + node.incarnation;
    node.router = std::make_unique<Router>(node.settings, Incarnation(node.incarnation), seed);
    deliverTo(node.id, node.incarnation, Tick{});
}

void FakeFleet::deliverTo(const std::string &id, std::uint64_t incarnation, Event event)
{
    Node &node = *m_nodes.at(id);
    if (node.router == nullptr || node.incarnation != incarnation)
        return;
    if (node.paused) {
        node.backlog.push_back(std::move(event));
        return;
    }
    handle(node, event);
}

void FakeFleet::handle(Node &node, const Event &event)
{
    ++m_eventsHandled;
    passOn(node, event);
    std::vector<Action> actions;
    node.router->handle(event, m_queue.now(), actions);
    for (const Action &action : actions)
        std::visit([this, &node](const auto &value) { perform(node, value); }, action);
    scheduleTick(node);
}

void FakeFleet::scheduleTick(Node &node)
{
    const TimePoint wanted = node.router->nextWakeUp();
    if (wanted == kNever || wanted >= node.tickAt)
        return;
    const TimePoint due = std::max(wanted, m_queue.now() + kTimerGranularity);
    if (due >= node.tickAt)
        return;
    node.tickAt = due;
    m_queue.at(due, [this, id = node.id, incarnation = node.incarnation, due] {
        tick(id, incarnation, due);
    });
}

void FakeFleet::tick(const std::string &id, std::uint64_t incarnation, TimePoint due)
{
    Node &node = *m_nodes.at(id);
    if (node.incarnation != incarnation || node.tickAt != due)
        return;
    node.tickAt = kNever;
    deliverTo(id, incarnation, Tick{});
}

void FakeFleet::killRouter(const std::string &id)
{
    Node &node = *m_nodes.at(id);
    if (node.router == nullptr)
        return;
    node.router.reset();
    const auto first = m_flights.lower_bound({RouterId(id), 0, AttemptId()});
    auto end = first;
    std::vector<std::pair<AttemptKey, std::string>> broken;
    for (; end != m_flights.end() && end->first.router.value() == id; ++end)
        broken.emplace_back(end->first, end->second.backend);
    m_flights.erase(first, end);
    for (const auto &[key, name] : broken) {
        if (FakeBackend *target = backend(name); target != nullptr)
            target->cancel(key);
    }
    loseCallersOf(id, node.stopped);
    removeLater(id);
}

void FakeFleet::loseCallersOf(const std::string &router, bool gracefully)
{
    for (auto &[request, caller] : m_callers) {
        if (caller.router.value() != router || caller.hasEnded())
            continue;
        caller.connectionLost = true;
        caller.endedAt = m_queue.now();
        if (gracefully)
            violated(m_violations.cutByStop, request.value() + " was cut by the stop of " + router);
    }
}

void FakeFleet::removeLater(const std::string &id)
{
    m_queue.after(kPlatformNotices, [this, id] {
        const auto node = m_nodes.find(id);
        const FakeBackend *target = backend(id);
        const bool runs = node != m_nodes.end() ? node->second->router != nullptr
                                                : target != nullptr && target->isUp();
        if (!runs)
            m_instances.remove(id);
    });
}

void FakeFleet::restartRouter(const std::string &id)
{
    killRouter(id);
    Node &node = *m_nodes.at(id);
    m_instances.put(routerInstance(node));
    boot(node);
}

void FakeFleet::pauseRouter(const std::string &id)
{
    m_nodes.at(id)->paused = true;
}

void FakeFleet::resumeRouter(const std::string &id)
{
    Node &node = *m_nodes.at(id);
    node.paused = false;
    const std::vector<Event> backlog = std::exchange(node.backlog, {});
    for (const Event &event : backlog) {
        if (node.router != nullptr)
            handle(node, event);
    }
}

void FakeFleet::stopRouter(const std::string &id)
{
    m_instances.setState(id, InstanceState::Leaving);
    deliverTo(id, m_nodes.at(id)->incarnation, StopRequested{});
}

void FakeFleet::crashBackend(const std::string &id)
{
    backend(id)->crash();
    removeLater(id);
}

void FakeFleet::restartBackend(const std::string &id)
{
    FakeBackend *target = backend(id);
    target->restart();
    m_leavingSince.erase(id);
    m_instances.put(target->instance());
}

void FakeFleet::leaveBackend(const std::string &id)
{
    m_leavingSince.emplace(id, m_queue.now());
    m_instances.setState(id, InstanceState::Leaving);
    if (const auto engine = m_engines.find(id); engine != m_engines.end())
        engine->second->faults().leaving = true;
    if (const auto service = m_services.find(id); service != m_services.end())
        service->second->faults().leaving = true;
}

std::string FakeFleet::dump(const std::string &id) const
{
    return m_nodes.at(id)->router->dump(m_queue.now());
}

std::vector<std::string> FakeFleet::routerIds() const
{
    std::vector<std::string> ids;
    for (const auto &[id, node] : m_nodes)
        ids.push_back(id);
    return ids;
}

std::uint32_t FakeFleet::repeatedRuns() const
{
    return static_cast<std::uint32_t>(std::count_if(
        m_runs.begin(), m_runs.end(), [](const auto &entry) { return entry.second > 1; }));
}

void FakeFleet::violated(std::uint32_t &count, const std::string &text)
{
    ++count;
    if (m_violations.texts.size() < kTextsKept)
        m_violations.texts.push_back(text);
}

} // namespace comfrey::test
