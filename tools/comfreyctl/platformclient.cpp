// Calls to the platform and to routers over HTTP.
#include "platformclient.h"

#include "common/encoding.h"
#include "common/httpclient.h"

namespace comfrey::ctl {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout(1000);
constexpr std::chrono::milliseconds kReadTimeout(3000);
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::unique_ptr<httplib::Client> clientOf(const Endpoint &address)
{
    HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    options.readTimeout = kReadTimeout;
    options.keepAlive = false;
    return makeHttpClient(address, options);
}

Result<nlohmann::json> getJson(const Endpoint &address, const std::string &path,
                               const std::string &what)
{
    const auto answer = clientOf(address)->Get(path);
    const std::string place = what + " at " + address.value();
    if (!answer)
        return failure(ErrorCode::Unavailable, place + " does not answer");
    if (answer->status != kOk)
        return failure(ErrorCode::Unavailable,
                       place + " answers with status " + std::to_string(answer->status));
    nlohmann::json body = nlohmann::json::parse(answer->body, nullptr, false);
    if (!body.is_object())
        return failure(ErrorCode::MalformedMessage, place + " does not answer with an object");
    return body;
}

Result<LogRecord> recordFrom(const nlohmann::json &item)
{
    Result<Bytes> payload = decodeBase64(item.value("payload", ""));
    if (!payload)
        return tl::make_unexpected(payload.error());
    return LogRecord{LogOffset(item.value("offset", std::uint64_t(0))), std::move(*payload)};
}

} // namespace

Result<LogRead> PlatformClient::read(const StreamId &stream, LogOffset from,
                                     std::chrono::milliseconds wait) const
{
    const std::string path = "/log/streams/" + stream.value() + "/records?from="
        + std::to_string(from.value()) + "&limit=500&wait_ms=" + std::to_string(wait.count());
    const Result<nlohmann::json> body = getJson(m_address, path, "the platform's log");
    if (!body)
        return tl::make_unexpected(body.error());
    LogRead read;
    read.stream = stream;
    read.firstOffset = LogOffset(body->value("first", std::uint64_t(1)));
    read.endOffset = LogOffset(body->value("end", std::uint64_t(1)));
    for (const nlohmann::json &item : body->value("records", nlohmann::json::array())) {
        Result<LogRecord> record = recordFrom(item);
        if (!record)
            return tl::make_unexpected(record.error());
        read.records.push_back(std::move(*record));
    }
    return read;
}

AppendResult PlatformClient::append(const StreamId &stream, const Bytes &payload) const
{
    const std::string path = "/log/streams/" + stream.value() + "/records";
    const nlohmann::json body = {{"payload", encodeBase64(payload)}};
    const auto answer = clientOf(m_address)->Post(path, body.dump(), "application/json");
    if (!answer) {
        const bool connected = answer.error() != httplib::Error::Connection;
        return connected ? AppendResult::Lost : AppendResult::Refused;
    }
    if (answer->status == kOk)
        return AppendResult::Accepted;
    const nlohmann::json reply = nlohmann::json::parse(answer->body, nullptr, false);
    const bool refused = answer->status == kTooManyRequests
        || (answer->status == kUnavailable && reply.is_object() && !reply.value("appended", true));
    return refused ? AppendResult::Refused : AppendResult::Lost;
}

Result<std::vector<RouterAddress>> PlatformClient::routers() const
{
    const Result<nlohmann::json> body = getJson(m_address, "/instances", "the platform's list");
    if (!body)
        return tl::make_unexpected(body.error());
    std::vector<RouterAddress> routers;
    for (const nlohmann::json &item : body->value("instances", nlohmann::json::array())) {
        if (item.value("kind", "") != "router" || item.value("state", "live") != "live")
            continue;
        routers.push_back(
            {RouterId(item.value("id", "")), Endpoint(item.value("operator_address", ""))});
    }
    return routers;
}

Result<void> PlatformClient::follow(LogFollower &follower) const
{
    while (true) {
        const LogOffset from = follower.next();
        const Result<LogRead> answer = read(StreamId("config"), from);
        if (!answer)
            return tl::make_unexpected(answer.error());
        follower.take(*answer);
        if (!follower.lacksRecords() && follower.next() >= answer->endOffset)
            return {};
        if (follower.lacksRecords() && follower.next() >= answer->endOffset)
            return failure(ErrorCode::Unknown,
                           "the log has dropped records of the stream \"config\" and holds no "
                           "snapshot that replaces them");
        if (follower.next() == from)
            return failure(ErrorCode::MalformedMessage,
                           "the platform's log gives no record from offset "
                               + std::to_string(from.value()) + " on");
    }
}

Result<nlohmann::json> fetchDump(const RouterAddress &router)
{
    return getJson(router.operatorAddress, "/debug/dump", "router \"" + router.id.value() + '"');
}

} // namespace comfrey::ctl
