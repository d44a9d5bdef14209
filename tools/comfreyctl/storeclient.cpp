// One call to the platform's store.
#include "storeclient.h"

#include <nlohmann/json.hpp>

#include "common/encoding.h"
#include "common/httpclient.h"

namespace comfrey::ctl {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout(1000);
constexpr std::chrono::milliseconds kReadTimeout(3000);
constexpr int kOk = 200;
constexpr const char *kOperatorTopic = "/v1/log-newest?topic=keyed.op&part=0";
constexpr const char *kConfigKey = "config";

/// The value of the configuration's record in a page of the newest records.
Result<std::string> configIn(const nlohmann::json &page)
{
    for (const nlohmann::json &item : page.value("items", nlohmann::json::array())) {
        if (!item.is_object() || item.value("key", "") != kConfigKey)
            continue;
        const auto value = decodeBase64(item.value("value", ""));
        if (!value)
            return tl::make_unexpected(value.error());
        return std::string(value->begin(), value->end());
    }
    return failure(ErrorCode::NotFound, "the store holds no configuration");
}

} // namespace

Result<std::string> fetchConfigInForce(const Endpoint &store)
{
    HttpClientOptions options;
    options.connectTimeout = kConnectTimeout;
    options.readTimeout = kReadTimeout;
    options.keepAlive = false;
    const auto answer = makeHttpClient(store, options)->Get(kOperatorTopic);
    if (!answer || answer->status != kOk)
        return failure(ErrorCode::Unavailable,
                       "the store at " + store.value()
                           + (answer ? " answers with status " + std::to_string(answer->status)
                                     : std::string(" does not answer")));
    const nlohmann::json page = nlohmann::json::parse(answer->body, nullptr, false);
    if (!page.is_object())
        return failure(ErrorCode::MalformedMessage,
                       "the store at " + store.value() + " does not answer with an object");
    return configIn(page);
}

} // namespace comfrey::ctl
