// Answers of the platform as JSON.
#include "daemon/platformanswers.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "common/encoding.h"
#include "traffic/callerlistener.h"

namespace comfrey {

namespace {

using Json = nlohmann::json;

InstanceKind kindOf(const std::string &text)
{
    if (text == "router")
        return InstanceKind::Router;
    return text == "service" ? InstanceKind::Service : InstanceKind::Engine;
}

/// Throws Json::exception if the entry cannot be read.
Instance instanceOf(const Json &item)
{
    Instance instance;
    instance.id = item.value("id", "");
    instance.kind = kindOf(item.value("kind", "engine"));
    instance.state =
        item.value("state", "live") == "leaving" ? InstanceState::Leaving : InstanceState::Live;
    instance.zone = ZoneId(item.value("zone", ""));
    instance.address = Endpoint(item.value("address", ""));
    instance.operatorAddress = Endpoint(item.value("operator_address", ""));
    if (const auto models = item.find("models"); models != item.end()) {
        for (const Json &model : *models)
            instance.models.emplace_back(model.get_ref<const std::string &>());
    }
    instance.service = ServiceName(item.value("service", ""));
    instance.slots = static_cast<std::uint32_t>(
        unsignedMember(item, "slots", 0, std::numeric_limits<std::uint32_t>::max()));
    instance.checksFencing = item.value("checks_fencing", false);
    return instance;
}

/// Empty if requests can be sent to the address of a backend server.
std::string problemOfAddress(const Instance &instance)
{
    if (instance.kind == InstanceKind::Router || instance.address.isEmpty())
        return {};
    const auto endpoint = parseEndpoint(instance.address.value());
    return endpoint ? std::string() : endpoint.error().text;
}

LogRead logReadOf(const StreamId &stream, const Json &body)
{
    constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();
    LogRead read;
    read.stream = stream;
    read.firstOffset = LogOffset(unsignedMember(body, "first", 0, kLargest));
    read.endOffset = LogOffset(unsignedMember(body, "end", 0, kLargest));
    for (const Json &item : body.at("records"))
        read.records.push_back({LogOffset(unsignedMember(item, "offset", 0, kLargest)),
                                decodeBase64(item.value("payload", "")).value()});
    return read;
}

} // namespace

std::uint64_t unsignedMember(const Json &object, const char *name, std::uint64_t fallback,
                             std::uint64_t largest)
{
    const auto found = object.find(name);
    if (found == object.end())
        return fallback;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > largest)
        throw Json::out_of_range::create(
            406, std::string("\"") + name + "\" is no whole number that fits", &*found);
    return found->get<std::uint64_t>();
}

Result<InstanceList>
readInstanceList(const std::string &text,
                 const std::function<void(const std::string &reason)> &onUnreadable)
{
    const Json body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("instances") || !body["instances"].is_array())
        return failure(ErrorCode::MalformedMessage, "the list of instances is malformed");
    InstanceList list;
    for (const Json &item : body["instances"]) {
        try {
            Instance instance = instanceOf(item);
            const std::string problem = problemOfAddress(instance);
            if (problem.empty())
                list.instances.instances.push_back(std::move(instance));
            else
                onUnreadable(problem);
        } catch (const Json::exception &error) {
            onUnreadable(error.what());
        }
    }
    if (const auto version = body.find("version");
        version != body.end() && version->is_number_unsigned())
        list.version = version->get<std::uint64_t>();
    return list;
}

Result<LogRead> readLogAnswer(const StreamId &stream, const std::string &text)
{
    const Json body = Json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("records") || !body["records"].is_array())
        return failure(ErrorCode::MalformedMessage,
                       "answer for stream \"" + stream.value() + "\" is malformed");
    try {
        return logReadOf(stream, body);
    } catch (const Json::exception &error) {
        return failure(ErrorCode::MalformedMessage, error.what());
    } catch (const tl::bad_expected_access<Error> &error) {
        return failure(ErrorCode::MalformedMessage, error.error().text);
    }
}

} // namespace comfrey
