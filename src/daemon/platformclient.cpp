// The platform's interfaces over HTTP.
#include "daemon/platformclient.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "common/encoding.h"
#include "daemon/platformanswers.h"

namespace comfrey {

namespace {

constexpr std::size_t kMaxThreads = 64;
// A platform that started again may count its versions from 1 again, so an unchanged version is not
// trusted for long.
constexpr unsigned kMaxConditionalReads = 20;
constexpr int kReadLimit = 1000; // records in one answer

HttpClientOptions optionsWith(std::chrono::milliseconds timeout)
{
    HttpClientOptions options;
    options.connectTimeout = timeout;
    options.readTimeout = timeout;
    options.writeTimeout = timeout;
    return options;
}

bool isConnectFailure(const httplib::Result &result)
{
    return result.error() == httplib::Error::Connection
        || result.error() == httplib::Error::ConnectionTimeout;
}

AppendAnswered appendAnsweredOf(const AppendToLog &order, const httplib::Result &result)
{
    AppendAnswered answered{order.append, order.stream, AppendResult::Lost, {}};
    if (!result) {
        if (isConnectFailure(result))
            answered.result = AppendResult::Refused;
        return answered;
    }
    const nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
    const auto offset = body.find("offset");
    const auto appended = body.find("appended");
    if (result->status == 200 && offset != body.end() && offset->is_number_unsigned()) {
        answered.result = AppendResult::Accepted;
        answered.offset = LogOffset(offset->get<std::uint64_t>());
    } else if (result->status == 429
               || (result->status == 503 && appended != body.end() && appended->is_boolean()
                   && !appended->get<bool>())) {
        answered.result = AppendResult::Refused;
    }
    return answered;
}

} // namespace

PlatformClient::PlatformClient(const Endpoint &address, std::chrono::milliseconds timeout,
                               EventSink &sink)
    : m_address(address), m_timeout(timeout), m_sink(sink), m_clients(optionsWith(timeout)),
      m_pool(kMaxThreads, m_busy)
{ }

PlatformClient::~PlatformClient()
{
    m_pool.shutdown();
}

void PlatformClient::read(const ReadLog &order)
{
    m_pool.enqueue([this, order] { runRead(order); });
}

void PlatformClient::runRead(const ReadLog &order)
{
    // The wait stays well below the client's own time limit.
    const auto wait = order.wait ? m_timeout / 2 : std::chrono::milliseconds(0);
    const std::string path = "/log/streams/" + order.stream.value()
        + "/records?from=" + std::to_string(order.from.value())
        + "&limit=" + std::to_string(kReadLimit) + "&wait_ms=" + std::to_string(wait.count());
    std::unique_ptr<httplib::Client> client = m_clients.take(m_address);
    const httplib::Result result = client->Get(path);
    if (!result || result->status != 200)
        return m_sink.post(LogReadFailed{order.stream});
    Result<LogRead> read = readLogAnswer(order.stream, result->body);
    m_clients.giveBack(m_address, std::move(client));
    if (!read) {
        LOG(WARNING) << "event=log-unreadable stream=" << order.stream.value() << " reason=\""
                     << read.error().text << '"';
        return m_sink.post(LogReadFailed{order.stream});
    }
    m_sink.post(std::move(*read));
}

void PlatformClient::append(const AppendToLog &order)
{
    m_pool.enqueue([this, order] { runAppend(order); });
}

void PlatformClient::runAppend(const AppendToLog &order)
{
    const nlohmann::json body = {{"payload", encodeBase64(order.payload)}};
    std::unique_ptr<httplib::Client> client = m_clients.take(m_address);
    const httplib::Result result = client->Post("/log/streams/" + order.stream.value() + "/records",
                                                body.dump(), "application/json");
    m_sink.post(appendAnsweredOf(order, result));
    if (result)
        m_clients.giveBack(m_address, std::move(client));
}

void PlatformClient::readInstances()
{
    m_pool.enqueue([this] { runReadInstances(); });
}

void PlatformClient::runReadInstances()
{
    std::unique_ptr<httplib::Client> client = m_clients.take(m_address);
    const httplib::Result result = client->Get(instancesPath());
    if (result && result->status == 304) {
        m_clients.giveBack(m_address, std::move(client));
        return m_sink.post(keptInstances());
    }
    if (!result || result->status != 200)
        return m_sink.post(InstanceListFailed{});
    Result<InstanceList> list = readInstanceList(result->body, [](const std::string &reason) {
        LOG(WARNING) << "event=instance-unreadable reason=\"" << reason << '"';
    });
    m_clients.giveBack(m_address, std::move(client));
    if (!list) {
        LOG(WARNING) << "event=instance-list-unreadable reason=\"" << list.error().text << '"';
        return m_sink.post(InstanceListFailed{});
    }
    keepInstances(list->version, list->instances);
    m_sink.post(std::move(list->instances));
}

// Asks for the list only if it changed, but from time to time in any case.
std::string PlatformClient::instancesPath()
{
    const std::lock_guard lock(m_mutex);
    if (m_version == 0 || ++m_conditionalReads > kMaxConditionalReads)
        return "/instances";
    return "/instances?unless_version=" + std::to_string(m_version);
}

void PlatformClient::keepInstances(std::uint64_t version, const InstanceListRead &read)
{
    const std::lock_guard lock(m_mutex);
    m_version = version;
    m_kept = read;
    m_conditionalReads = 0;
}

InstanceListRead PlatformClient::keptInstances()
{
    const std::lock_guard lock(m_mutex);
    return m_kept;
}

void PlatformClient::fetchWeights(const FetchWeights &order)
{
    m_pool.enqueue([this, order] { runFetchWeights(order); });
}

void PlatformClient::runFetchWeights(const FetchWeights &order)
{
    const nlohmann::json body = {{"model", order.model.value()},
                                 {"engine", order.backend.value()},
                                 {"order", order.order.value()}};
    std::unique_ptr<httplib::Client> client = m_clients.take(m_address);
    const httplib::Result result = client->Post("/weights/fetch", body.dump(), "application/json");
    WeightsAnswered answered{order.order, WeightsResult::Lost};
    if (!result && isConnectFailure(result))
        answered.result = WeightsResult::Failed;
    if (result && result->status == 200)
        answered.result = WeightsResult::Granted;
    if (result && result->status == 429)
        answered.result = WeightsResult::RateLimited;
    m_sink.post(answered);
    if (result)
        m_clients.giveBack(m_address, std::move(client));
}

} // namespace comfrey
