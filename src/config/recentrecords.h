// The newest records of the stream as they were appended, for routers that are a little behind.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "comfrey/events.h"
#include "generated/messages.generated.h"

namespace comfrey {

class RecentRecords
{
public:
    /// Precondition: `offset` follows the record added before, if there is one.
    void add(LogOffset offset, const Bytes &payload);

    void clear();

    /// Records from an offset on, as many as one message may hold; nothing if older ones than are
    /// kept would be needed.
    std::optional<std::vector<std::unique_ptr<wire::ConfigRecordT>>> from(LogOffset first) const;

private:
    std::deque<LogRecord> m_records; ///< Without gaps.
    std::size_t m_bytes = 0;         ///< Of all payloads.
};

} // namespace comfrey
