// Entries of the two lists as they stand in records of the log.
#include "config/listrecord.h"

namespace comfrey {

namespace {

template<typename Id>
std::vector<std::string> toStrings(const std::vector<Id> &ids)
{
    std::vector<std::string> strings;
    strings.reserve(ids.size());
    for (const Id &id : ids)
        strings.push_back(id.value());
    return strings;
}

template<typename Id>
std::vector<Id> toIds(const std::vector<std::string> &strings)
{
    return std::vector<Id>(strings.begin(), strings.end());
}

} // namespace

std::unique_ptr<record::PlanT> toRecord(const PlanEntry &entry)
{
    auto written = std::make_unique<record::PlanT>();
    written->customer = entry.customer.value();
    written->plan = entry.plan.value();
    written->firstTokenUs = static_cast<std::uint64_t>(entry.contract.firstToken.count());
    written->betweenTokensUs = static_cast<std::uint64_t>(entry.contract.betweenTokens.count());
    written->share = entry.share;
    written->keys = toStrings(entry.keys);
    written->revision = entry.revision.value();
    return written;
}

std::unique_ptr<record::EntitlementT> toRecord(const EntitlementEntry &entry)
{
    auto written = std::make_unique<record::EntitlementT>();
    written->plan = entry.plan.value();
    written->models = toStrings(entry.models);
    written->adapters = toStrings(entry.adapters);
    written->services = toStrings(entry.services);
    written->requestsInFlight = entry.limits.requestsInFlight;
    written->requestsPerSecond = entry.limits.requestsPerSecond;
    written->promptTokens = entry.limits.promptTokens;
    written->outputTokens = entry.limits.outputTokens;
    written->bodyBytes = entry.limits.bodyBytes;
    written->revision = entry.revision.value();
    return written;
}

PlanEntry fromRecord(const record::PlanT &entry)
{
    PlanEntry read;
    read.customer = CustomerId(entry.customer);
    read.plan = PlanId(entry.plan);
    read.contract.firstToken = Duration(static_cast<Duration::rep>(entry.firstTokenUs));
    read.contract.betweenTokens = Duration(static_cast<Duration::rep>(entry.betweenTokensUs));
    read.share = entry.share;
    read.keys = toIds<ApiKeyHash>(entry.keys);
    read.revision = Revision(entry.revision);
    return read;
}

EntitlementEntry fromRecord(const record::EntitlementT &entry)
{
    EntitlementEntry read;
    read.plan = PlanId(entry.plan);
    read.models = toIds<ModelId>(entry.models);
    read.adapters = toIds<AdapterId>(entry.adapters);
    read.services = toIds<ServiceName>(entry.services);
    read.limits.requestsInFlight = entry.requestsInFlight;
    read.limits.requestsPerSecond = entry.requestsPerSecond;
    read.limits.promptTokens = entry.promptTokens;
    read.limits.outputTokens = entry.outputTokens;
    read.limits.bodyBytes = entry.bodyBytes;
    read.revision = Revision(entry.revision);
    return read;
}

} // namespace comfrey
