// Short ways to write operators' changes and callers' requests in tests.
#include "support/changes.h"

#include <algorithm>

#include <openssl/sha.h>
#include <xxhash.h>

namespace comfrey::test {

ApiKeyHash keyHash(const std::string &key)
{
    static const char digits[] = "0123456789abcdef";
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest);
    std::string text;
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return ApiKeyHash(text);
}

record::PlanT plan(const std::string &customer, const std::string &planName, std::uint32_t share)
{
    record::PlanT entry;
    entry.customer = customer;
    entry.plan = planName;
    entry.firstTokenUs = 320000;
    entry.betweenTokensUs = 74000;
    entry.share = share;
    entry.keys.push_back(keyHash("key-" + customer).value());
    return entry;
}

record::EntitlementT entitlement(const std::string &planName,
                                 const std::vector<std::string> &models,
                                 const std::vector<std::string> &services)
{
    const PlanLimits limits;
    record::EntitlementT entry;
    entry.plan = planName;
    entry.models = models;
    entry.services = services;
    entry.requestsInFlight = limits.requestsInFlight;
    entry.requestsPerSecond = limits.requestsPerSecond;
    entry.promptTokens = limits.promptTokens;
    entry.outputTokens = limits.outputTokens;
    entry.bodyBytes = limits.bodyBytes;
    return entry;
}

record::ChangeT change(const std::string &changeId, std::vector<record::PlanT> plans,
                       std::vector<record::EntitlementT> entitlements)
{
    record::ChangeT result;
    result.changeId = changeId;
    result.author = "test";
    for (record::PlanT &entry : plans) {
        auto basis = std::make_unique<record::BasisT>();
        basis->key = entry.customer;
        result.planBasis.push_back(std::move(basis));
        result.upsertPlans.push_back(std::make_unique<record::PlanT>(std::move(entry)));
    }
    for (record::EntitlementT &entry : entitlements) {
        auto basis = std::make_unique<record::BasisT>();
        basis->key = entry.plan;
        result.entitlementBasis.push_back(std::move(basis));
        result.upsertEntitlements.push_back(
            std::make_unique<record::EntitlementT>(std::move(entry)));
    }
    return result;
}

void basePlanOn(record::ChangeT &change, const std::string &customer, std::uint64_t revision)
{
    const auto found =
        std::find_if(change.planBasis.begin(), change.planBasis.end(),
                     [&customer](const auto &basis) { return basis->key == customer; });
    if (found != change.planBasis.end())
        (*found)->revision = revision;
}

CallerRequest chatRequest(const std::string &customer, const std::string &chat,
                          const std::string &model)
{
    CallerRequest request;
    request.kind = RequestKind::Chat;
    request.apiKey = keyHash("key-" + customer);
    request.bodyBytes = 2000;
    const std::string content = customer + "/" + chat;
    request.fingerprint = Fingerprint(XXH64(content.data(), content.size(), 0));
    request.model = ModelId(model);
    request.chat = ChatId(chat);
    request.promptTokens = 400;
    request.maxTokens = 200;
    request.streamed = true;
    return request;
}

CallerRequest callRequest(const std::string &customer, const std::string &idempotencyKey,
                          const std::string &service)
{
    CallerRequest request;
    request.kind = RequestKind::ServiceCall;
    request.apiKey = keyHash("key-" + customer);
    request.bodyBytes = 200;
    const std::string content = customer + "/" + idempotencyKey;
    request.fingerprint = Fingerprint(XXH64(content.data(), content.size(), 0));
    request.service = ServiceName(service);
    request.idempotencyKey = IdempotencyKey(idempotencyKey);
    return request;
}

} // namespace comfrey::test
