#include "standin-engine/orderbook.h"

namespace comfrey::standin {

namespace {

bool apply(OrderState &state, const std::string &kind, const std::string &subject)
{
    if (kind == "load-model")
        state.models.insert(subject);
    else if (kind == "unload-model")
        state.models.erase(subject);
    else if (kind == "load-adapter")
        state.adapters.insert(subject);
    else if (kind == "set-version")
        state.version = subject;
    else if (kind == "set-role")
        state.role = subject;
    else
        return false;
    return true;
}

} // namespace

OrderBook::OrderBook(std::vector<std::string> models, bool checksFencing)
    : m_checksFencing(checksFencing)
{
    m_state.models.insert(models.begin(), models.end());
}

OrderVerdict OrderBook::take(std::uint64_t fencing, const std::string &kind,
                             const std::string &subject)
{
    const std::lock_guard lock(m_mutex);
    if (m_checksFencing && fencing < m_state.newestOrder)
        return OrderVerdict::Stale;
    if (!apply(m_state, kind, subject))
        return OrderVerdict::UnknownKind;
    m_state.newestOrder = fencing;
    return OrderVerdict::Done;
}

OrderState OrderBook::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

bool OrderBook::serves(const std::string &model) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.models.contains(model);
}

} // namespace comfrey::standin
