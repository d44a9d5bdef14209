// The length class of a chat's answer.
#include "admission/lengthpredictor.h"

#include <algorithm>
#include <bit>

namespace comfrey {

namespace {

constexpr double kGain = 0.2;         ///< Weight of the newest answer.
constexpr double kLongFromPart = 0.5; ///< Long when at least this part of answers was.

} // namespace

LengthPredictor::Key LengthPredictor::keyOf(const CustomerId &customer,
                                            const CallerRequest &request)
{
    return {customer, std::bit_width(request.maxTokens)};
}

Priority LengthPredictor::predict(const CustomerId &customer, const CallerRequest &request) const
{
    if (request.maxTokens != 0 && request.maxTokens <= m_longFrom)
        return Priority::Short;
    const auto known = m_longPart.find(keyOf(customer, request));
    const bool usuallyLong = known != m_longPart.end() && known->second >= kLongFromPart;
    return usuallyLong ? Priority::Long : Priority::Normal;
}

Priority LengthPredictor::corrected(Priority present, Tokens tokens) const
{
    if (tokens > m_longFrom)
        return Priority::Long;
    if (tokens > m_longFrom / 2)
        return std::min(present, Priority::Normal);
    return present;
}

void LengthPredictor::learn(const CustomerId &customer, const CallerRequest &request, Tokens tokens)
{
    if (request.maxTokens != 0 && request.maxTokens <= m_longFrom)
        return;
    const double isLong = tokens > m_longFrom ? 1 : 0;
    const auto [known, isNew] = m_longPart.try_emplace(keyOf(customer, request), isLong);
    if (!isNew)
        known->second += kGain * (isLong - known->second);
}

} // namespace comfrey
