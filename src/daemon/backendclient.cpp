// Sends requests, probes and orders to back ends over HTTP.
#include "daemon/backendclient.h"

#include <nlohmann/json.hpp>

#include "daemon/chatsender.h"
#include "daemon/servicesender.h"

namespace comfrey {

namespace {

constexpr std::size_t kControlThreads = 16;
constexpr std::chrono::milliseconds kProbeTimeout{1000};
constexpr std::chrono::milliseconds kConnectTimeout{500};

HttpClientOptions trafficOptions()
{
    HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    return options;
}

HttpClientOptions probeOptions()
{
    HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    options.readTimeout = kProbeTimeout;
    return options;
}

std::vector<CacheEvent> cacheEventsOf(const nlohmann::json &body)
{
    std::vector<CacheEvent> events;
    for (const nlohmann::json &item : body.value("cache_events", nlohmann::json::array())) {
        CacheEvent event;
        event.change =
            item.value("change", "") == "evicted" ? CacheChange::Evicted : CacheChange::Stored;
        event.chat = ChatId(item.value("chat", ""));
        event.sharedPrefix = PrefixHash(item.value("prefix", std::uint64_t{0}));
        event.tokens = item.value("tokens", Tokens{0});
        events.push_back(std::move(event));
    }
    return events;
}

template<typename Id>
std::vector<Id> idsOf(const nlohmann::json &body, const char *key)
{
    std::vector<Id> ids;
    for (const nlohmann::json &item : body.value(key, nlohmann::json::array()))
        ids.emplace_back(item.get<std::string>());
    return ids;
}

LoadReport loadReportOf(const BackendId &backend, const nlohmann::json &body)
{
    LoadReport report;
    report.backend = backend;
    report.measuredAt = TimePoint(Duration(body.value("measured_at_us", std::int64_t{0})));
    report.running = body.value("running", 0U);
    report.waiting = body.value("waiting", 0U);
    report.slots = body.value("slots", 0U);
    report.leaving = body.value("leaving", false);
    report.models = idsOf<ModelId>(body, "models");
    report.adapters = idsOf<AdapterId>(body, "adapters");
    report.role = body.value("role", "");
    report.newestOrder = FencingNumber(body.value("newest_order", std::uint64_t{0}));
    report.cacheEvents = cacheEventsOf(body);
    return report;
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

OrderResult orderResultOf(const httplib::Result &result)
{
    if (!result)
        return result.error() == httplib::Error::Connection ? OrderResult::Failed
                                                            : OrderResult::Lost;
    if (result->status == 200)
        return OrderResult::Done;
    return result->status == 409 ? OrderResult::RefusedStale : OrderResult::Failed;
}

} // namespace

void RunningAttempt::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_cancelled = true;
    if (m_client != nullptr)
        m_client->stop();
}

void RunningAttempt::attach(httplib::Client *client)
{
    const std::lock_guard lock(m_mutex);
    m_client = client;
}

void RunningAttempt::detach()
{
    const std::lock_guard lock(m_mutex);
    m_client = nullptr;
}

BackendClient::BackendClient(ExchangeTable &exchanges, EventSink &sink, const ProcessClock &clock,
                             std::size_t maxThreads)
    : m_exchanges(exchanges), m_sink(sink), m_clock(clock), m_clients(trafficOptions()),
      m_probeClients(probeOptions()), m_traffic(maxThreads, m_busyTraffic),
      m_control(kControlThreads, m_busyControl)
{ }

BackendClient::~BackendClient()
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[attempt, running] : m_running)
            running->cancel();
    }
    m_traffic.shutdown();
    m_control.shutdown();
}

void BackendClient::send(const SendToBackend &order)
{
    auto running = std::make_shared<RunningAttempt>();
    {
        const std::lock_guard lock(m_mutex);
        m_running[order.attempt] = running;
    }
    m_traffic.enqueue([this, order, running] { runAttempt(order, running); });
}

void BackendClient::cancel(AttemptId attempt)
{
    std::shared_ptr<RunningAttempt> running;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_running.find(attempt);
        if (found == m_running.end())
            return;
        running = found->second;
    }
    running->cancel();
}

void BackendClient::runAttempt(const SendToBackend &order,
                               const std::shared_ptr<RunningAttempt> &running)
{
    AttemptEnded ended;
    ended.attempt = order.attempt;
    ended.request = order.request;
    ended.how = AttemptEnd::NotConnected;
    const std::shared_ptr<Exchange> exchange = m_exchanges.find(order.request);
    if (exchange != nullptr && !running->isCancelled()) {
        if (exchange->detail().kind == RequestKind::Chat)
            ended = ChatSender(order, *exchange, *running, m_clients, m_sink).run();
        else
            ended = ServiceSender(order, *exchange, *running, m_clients).run();
        exchange->release(order.attempt);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_running.erase(order.attempt);
    }
    m_sink.post(std::move(ended));
}

void BackendClient::probe(const ProbeBackend &order)
{
    m_control.enqueue([this, order] { runProbe(order); });
}

void BackendClient::runProbe(const ProbeBackend &order)
{
    std::unique_ptr<httplib::Client> client = m_probeClients.take(order.address);
    const httplib::Result result = client->Get("/load");
    if (!result || result->status != 200)
        return m_sink.post(ProbeFailed{order.backend});
    const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
    m_probeClients.giveBack(order.address, std::move(client));
    if (!body.is_object())
        return m_sink.post(ProbeFailed{order.backend});
    m_sink.post(ProbeAnswered{loadReportOf(order.backend, body)});
}

void BackendClient::give(const GiveOrder &order)
{
    m_control.enqueue([this, order] { runOrder(order); });
}

void BackendClient::runOrder(const GiveOrder &order)
{
    const nlohmann::json body = {{"fencing", order.fencing.value()},
                                 {"kind", textOf(order.kind)},
                                 {"subject", order.subject}};
    const auto client = makeHttpClient(order.address, probeOptions());
    const httplib::Result result = client->Post("/orders", body.dump(), "application/json");
    m_sink.post(OrderAnswered{order.order, order.backend, orderResultOf(result)});
}

} // namespace comfrey
