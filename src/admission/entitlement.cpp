// Whether the lists allow a request at all.
#include "admission/entitlement.h"

#include <algorithm>

namespace comfrey {

namespace {

template<typename Item>
bool contains(const std::vector<Item> &items, const Item &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

std::string quoted(const std::string &name)
{
    return '"' + name + '"';
}

Refusal notEntitled(const PlanId &plan, const std::string &thing)
{
    return {CallerError::NotEntitled, "plan " + quoted(plan.value()) + " may not use " + thing, {}};
}

Refusal tooLarge(const std::string &thing, std::uint32_t size, std::uint32_t limit)
{
    return {CallerError::TooLarge,
            thing + " of " + std::to_string(size) + " is over the plan's limit of "
                + std::to_string(limit),
            {}};
}

std::optional<Refusal> chatRefusal(const CallerRequest &request, const EntitlementEntry &entry)
{
    if (!contains(entry.models, request.model))
        return notEntitled(entry.plan, "model " + quoted(request.model.value()));
    if (!request.adapter.isEmpty() && !contains(entry.adapters, request.adapter))
        return notEntitled(entry.plan, "adapter " + quoted(request.adapter.value()));
    if (request.promptTokens > entry.limits.promptTokens)
        return tooLarge("prompt tokens", request.promptTokens, entry.limits.promptTokens);
    if (request.maxTokens > entry.limits.outputTokens)
        return tooLarge("max_tokens", request.maxTokens, entry.limits.outputTokens);
    return std::nullopt;
}

} // namespace

std::optional<Refusal> refusalByLists(const CallerRequest &request, const ListsView &lists)
{
    const PlanEntry *customer = lists.customerOf(request.apiKey);
    if (customer == nullptr)
        return Refusal{CallerError::UnknownKey, "the API key is not known", {}};
    const auto found = lists.lists().entitlements.find(customer->plan);
    if (found == lists.lists().entitlements.end())
        return notEntitled(customer->plan, "anything: it has no entitlements");
    const EntitlementEntry &entry = found->second;
    if (request.bodyBytes > entry.limits.bodyBytes)
        return tooLarge("body bytes", request.bodyBytes, entry.limits.bodyBytes);
    if (request.kind == RequestKind::Chat)
        return chatRefusal(request, entry);
    if (!contains(entry.services, request.service))
        return notEntitled(entry.plan, "service " + quoted(request.service.value()));
    return std::nullopt;
}

} // namespace comfrey
