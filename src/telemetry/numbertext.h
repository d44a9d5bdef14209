// Numbers as text, appended without a temporary string.
#pragma once

#include <array>
#include <charconv>
#include <string>

namespace comfrey {

template<typename Number>
void appendNumber(std::string &out, Number number, int base = 10)
{
    std::array<char, 24> digits;
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
    out.append(digits.data(), end);
}

} // namespace comfrey
