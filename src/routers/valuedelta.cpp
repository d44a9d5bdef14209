// Layout: the hashes of the base and of the target, 8 bytes each, then steps. A step is a copy
// (offset and length in the base) or text (length and bytes). Offsets and lengths have 4 bytes. All
// numbers are in host byte order, since all routers run on the same kind of machine.
#include "routers/valuedelta.h"

#include <cstdint>
#include <cstring>
#include <unordered_map>
#include <vector>

#include "placement/ranking.h"

namespace comfrey {

namespace {

constexpr char kCopy = 'c';
constexpr char kText = 't';

template<typename Number>
void appendNumber(std::string &out, Number number)
{
    out.append(reinterpret_cast<const char *>(&number), sizeof number);
}

template<typename Number>
bool readNumber(std::string_view &bytes, Number &number)
{
    if (bytes.size() < sizeof number)
        return false;
    std::memcpy(&number, bytes.data(), sizeof number);
    bytes.remove_prefix(sizeof number);
    return true;
}

/// Splits after each closing brace, so that the objects of a JSON text mostly become pieces.
std::vector<std::string_view> splitAtBraces(std::string_view text)
{
    std::vector<std::string_view> found;
    while (!text.empty()) {
        const std::size_t brace = text.find('}');
        const std::size_t length = brace == std::string_view::npos ? text.size() : brace + 1;
        found.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return found;
}

/// Writes steps, merging adjacent copies and adjacent texts.
class StepWriter
{
public:
    explicit StepWriter(std::string &out) : m_out(out) { }

    void copy(std::uint32_t offset, std::uint32_t length)
    {
        flushText();
        if (m_copyLength > 0 && m_copyOffset + m_copyLength == offset) {
            m_copyLength += length;
            return;
        }
        flushCopy();
        m_copyOffset = offset;
        m_copyLength = length;
    }

    void text(std::string_view bytes)
    {
        flushCopy();
        m_text.append(bytes);
    }

    void finish()
    {
        flushCopy();
        flushText();
    }

private:
    void flushCopy()
    {
        if (m_copyLength == 0)
            return;
        m_out += kCopy;
        appendNumber(m_out, m_copyOffset);
        appendNumber(m_out, m_copyLength);
        m_copyLength = 0;
    }

    void flushText()
    {
        if (m_text.empty())
            return;
        m_out += kText;
        appendNumber(m_out, static_cast<std::uint32_t>(m_text.size()));
        m_out += m_text;
        m_text.clear();
    }

    std::string &m_out;
    std::uint32_t m_copyOffset = 0;
    std::uint32_t m_copyLength = 0; ///< 0 if no copy is pending.
    std::string m_text;             ///< Pending text; empty while a copy is pending.
};

} // namespace

std::string makeDelta(std::string_view base, std::string_view target)
{
    std::unordered_map<std::string_view, std::uint32_t> offsets;
    std::uint32_t offset = 0;
    for (const std::string_view piece : splitAtBraces(base)) {
        offsets.emplace(piece, offset);
        offset += static_cast<std::uint32_t>(piece.size());
    }
    std::string delta;
    appendNumber(delta, hashOf(base));
    appendNumber(delta, hashOf(target));
    StepWriter steps(delta);
    for (const std::string_view piece : splitAtBraces(target)) {
        const auto found = offsets.find(piece);
        if (found == offsets.end())
            steps.text(piece);
        else
            steps.copy(found->second, static_cast<std::uint32_t>(piece.size()));
    }
    steps.finish();
    return delta;
}

std::optional<std::string> applyDelta(std::string_view base, std::string_view delta)
{
    std::uint64_t baseHash = 0;
    std::uint64_t targetHash = 0;
    if (!readNumber(delta, baseHash) || !readNumber(delta, targetHash) || baseHash != hashOf(base))
        return std::nullopt;
    std::string target;
    while (!delta.empty()) {
        const char step = delta.front();
        delta.remove_prefix(1);
        std::uint32_t operand = 0;
        if (!readNumber(delta, operand))
            return std::nullopt;
        if (step == kText) {
            if (delta.size() < operand)
                return std::nullopt;
            target.append(delta.substr(0, operand));
            delta.remove_prefix(operand);
            continue;
        }
        std::uint32_t length = 0;
        if (step != kCopy || !readNumber(delta, length) || operand > base.size()
            || base.size() - operand < length)
            return std::nullopt;
        target.append(base.substr(operand, length));
    }
    if (hashOf(target) != targetHash)
        return std::nullopt;
    return target;
}

} // namespace comfrey
