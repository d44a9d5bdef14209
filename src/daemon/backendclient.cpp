// Sends requests, probes and orders to back ends over HTTP.
#include "daemon/backendclient.h"

#include <limits>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "daemon/chatsender.h"
#include "daemon/platformanswers.h"
#include "daemon/servicesender.h"
#include "traffic/callerlistener.h"

namespace comfrey {

namespace {

constexpr Duration kProbeTimeout = milliseconds(1000);  // two probe intervals
constexpr Duration kConnectTimeout = milliseconds(500); // several times the way between regions
constexpr Duration kSilentLimit = milliseconds(5000);   // of a peer that acknowledges nothing
constexpr Duration kIdleLimit = milliseconds(5000);     // engines close idle connections later
constexpr std::uint32_t kMaxHeaderBytes = 16384;
constexpr std::size_t kMaxReportBytes = std::size_t{1} << 20; // tens of thousands of cache events
constexpr std::size_t kMaxOrderAnswerBytes = std::size_t{64} * 1024;

BackendConnectionLimits limitsWith(std::shared_ptr<CallerAccount> account,
                                   BackendUse use = BackendUse::Requests)
{
    return {kConnectTimeout, kSilentLimit, kMaxHeaderBytes, std::move(account), use};
}

constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();

std::uint32_t countMember(const nlohmann::json &object, const char *name)
{
    return static_cast<std::uint32_t>(
        unsignedMember(object, name, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::vector<CacheEvent> cacheEventsOf(const nlohmann::json &body)
{
    std::vector<CacheEvent> events;
    const auto list = body.find("cache_events");
    if (list == body.end())
        return events;
    for (const nlohmann::json &item : *list) {
        CacheEvent event;
        event.change =
            item.value("change", "") == "evicted" ? CacheChange::Evicted : CacheChange::Stored;
        event.chat = ChatId(item.value("chat", ""));
        event.sharedPrefix = PrefixHash(unsignedMember(item, "prefix", 0, kLargest));
        event.tokens = countMember(item, "tokens");
        events.push_back(std::move(event));
    }
    return events;
}

template<typename Id>
std::vector<Id> idsOf(const nlohmann::json &body, const char *key)
{
    std::vector<Id> ids;
    const auto list = body.find(key);
    if (list == body.end())
        return ids;
    for (const nlohmann::json &item : *list)
        ids.emplace_back(item.get_ref<const std::string &>());
    return ids;
}

LoadReport loadReportOf(const BackendId &backend, const nlohmann::json &body)
{
    LoadReport report;
    report.backend = backend;
    report.measuredAt = TimePoint(Duration(static_cast<std::int64_t>(
        unsignedMember(body, "measured_at_us", 0, std::numeric_limits<std::int64_t>::max()))));
    report.running = countMember(body, "running");
    report.waiting = countMember(body, "waiting");
    report.slots = countMember(body, "slots");
    report.leaving = body.value("leaving", false);
    report.models = idsOf<ModelId>(body, "models");
    report.adapters = idsOf<AdapterId>(body, "adapters");
    report.role = body.value("role", "");
    report.newestOrder = FencingNumber(unsignedMember(body, "newest_order", 0, kLargest));
    report.cacheEvents = cacheEventsOf(body);
    return report;
}

std::optional<LoadReport> readLoadReport(const BackendId &backend, const std::string &text)
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
        return std::nullopt;
    try {
        return loadReportOf(backend, body);
    } catch (const nlohmann::json::exception &error) {
        LOG(WARNING) << "event=load-report-unreadable backend=" << backend.value() << " reason=\""
                     << error.what() << '"';
        return std::nullopt;
    }
}

const char *textOf(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load-model";
    case OrderKind::UnloadModel:
        return "unload-model";
    case OrderKind::LoadAdapter:
        return "load-adapter";
    case OrderKind::SetVersion:
        return "set-version";
    case OrderKind::SetRole:
        return "set-role";
    }
    return "";
}

OrderResult orderResultOf(const CallAnswer &answer)
{
    if (answer.status == 0)
        return answer.wasSent ? OrderResult::Lost : OrderResult::Failed;
    if (answer.status == 200)
        return OrderResult::Done;
    return answer.status == 409 ? OrderResult::RefusedStale : OrderResult::Failed;
}

} // namespace

BackendClient::BackendClient(TrafficLoop &loop, ExchangeTable &exchanges, EventSink &sink,
                             const ProcessClock &clock,
                             const std::shared_ptr<CallerAccount> &account)
    : m_loop(loop), m_exchanges(exchanges), m_sink(sink),
      m_pool(loop.context(), limitsWith(account), kIdleLimit), m_parts{loop.context(), m_pool,
                                                                       limitsWith(account), sink,
                                                                       clock},
      m_caller(loop.context(), limitsWith(account, BackendUse::Control),
               [&clock] { return clock.now(); })
{
    loop.addSweep([this, &clock] {
        m_pool.sweep(clock.now());
        m_caller.sweep(clock.now());
    });
}

void BackendClient::send(const SendToBackend &order)
{
    m_loop.post([this, order] { startSending(order); });
}

void BackendClient::startSending(const SendToBackend &order)
{
    const std::shared_ptr<Exchange> exchange = m_exchanges.find(order.request);
    if (!exchange) {
        AttemptEnded ended;
        ended.attempt = order.attempt;
        ended.request = order.request;
        ended.how = AttemptEnd::NotConnected;
        m_sink.post(std::move(ended));
        return;
    }
    std::shared_ptr<BackendSender> sender;
    if (exchange->detail().kind == RequestKind::Chat)
        sender = std::make_shared<ChatSender>(m_parts, order, exchange);
    else
        sender = std::make_shared<ServiceSender>(m_parts, order, exchange);
    m_running[order.attempt] = sender;
    sender->start([this](AttemptEnded ended) {
        m_running.erase(ended.attempt);
        m_sink.post(std::move(ended));
    });
}

void BackendClient::cancel(AttemptId attempt)
{
    m_loop.post([this, attempt] {
        const auto found = m_running.find(attempt);
        if (found == m_running.end())
            return;
        const std::shared_ptr<BackendSender> sender = found->second;
        sender->cancel();
    });
}

void BackendClient::probe(const ProbeBackend &order)
{
    m_loop.post([this, order] { startProbe(order); });
}

void BackendClient::startProbe(const ProbeBackend &order)
{
    const auto endpoint = parseEndpoint(order.address.value());
    if (!endpoint) {
        LOG(WARNING) << "event=probe-impossible backend=" << order.backend.value() << " reason=\""
                     << endpoint.error().text << '"';
        m_sink.post(ProbeFailed{order.backend});
        return;
    }
    HttpCaller::Call call;
    call.to = *endpoint;
    call.target = "/load";
    call.timeout = kProbeTimeout;
    call.maxAnswerBytes = kMaxReportBytes;
    m_caller.start(std::move(call), [this, backend = order.backend](const CallAnswer &answer) {
        if (auto report =
                answer.status == 200 ? readLoadReport(backend, answer.body) : std::nullopt)
            m_sink.post(ProbeAnswered{std::move(*report)});
        else
            m_sink.post(ProbeFailed{backend});
    });
}

void BackendClient::give(const GiveOrder &order)
{
    m_loop.post([this, order] { startOrder(order); });
}

void BackendClient::startOrder(const GiveOrder &order)
{
    const auto endpoint = parseEndpoint(order.address.value());
    if (!endpoint) {
        LOG(WARNING) << "event=order-impossible backend=" << order.backend.value() << " reason=\""
                     << endpoint.error().text << '"';
        m_sink.post(OrderAnswered{order.order, order.backend, OrderResult::Failed});
        return;
    }
    const nlohmann::json body = {{"fencing", order.fencing.value()},
                                 {"kind", textOf(order.kind)},
                                 {"subject", order.subject}};
    HttpCaller::Call call;
    call.to = *endpoint;
    call.method = "POST";
    call.target = "/orders";
    call.contentType = "application/json";
    call.body = body.dump();
    call.timeout = kProbeTimeout;
    call.maxAnswerBytes = kMaxOrderAnswerBytes;
    m_caller.start(std::move(call), [this, order](const CallAnswer &answer) {
        m_sink.post(OrderAnswered{order.order, order.backend, orderResultOf(answer)});
    });
}

} // namespace comfrey
