// The length class of a chat's answer, predicted from max_tokens and from what the customer's
// requests of that size brought before.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "comfrey/actions.h"
#include "comfrey/events.h"

namespace comfrey {

class LengthPredictor
{
public:
    explicit LengthPredictor(Tokens longFrom) : m_longFrom(longFrom) { }

    /// Short: it cannot be long. Normal: unknown, or usually not long. Long: usually long.
    Priority predict(const CustomerId &customer, const CallerRequest &request) const;
    /// The class of an answer that has brought `tokens` so far; it only ever falls.
    Priority corrected(Priority present, Tokens tokens) const;
    void learn(const CustomerId &customer, const CallerRequest &request, Tokens tokens);

private:
    using Key = std::pair<CustomerId, int>; ///< Customer and power of two of max_tokens.
    static Key keyOf(const CustomerId &customer, const CallerRequest &request);

    Tokens m_longFrom;                ///< Answers of more tokens are long.
    std::map<Key, double> m_longPart; ///< Smoothed part of answers that were long.
};

} // namespace comfrey
