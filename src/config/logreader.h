// When this router reads the stream "config" from the log: all the time if it is one of the few
// that read for all, else only when it has heard for too long nothing that confirms its state.
#pragma once

#include <cstdint>
#include <optional>

#include "comfrey/settings.h"
#include "comfrey/units.h"
#include "facade/part.h"

namespace comfrey {

class LogReader
{
public:
    LogReader(const Settings &settings, Random &random);

    /// Whether this router reads for all, and how many routers there are.
    void setRole(bool isTailing, std::size_t fleetSize, TimePoint now);

    /// A read of the log was answered. `advanced`: it brought new records or the search for a
    /// snapshot went on; `confirmed`: the state stands at the newest end that is known.
    void answered(bool advanced, bool confirmed, TimePoint now);
    void failed(TimePoint now);

    /// Another router's word that our state was the log's end at that time.
    void confirm(TimePoint at);

    /// Whether to read now; the value tells whether the log may hold the answer. Call it once: it
    /// notes the read as sent.
    std::optional<bool> takeDueRead(TimePoint now);
    TimePoint nextWakeUp() const;

    /// When the state was last known to be the log's end.
    TimePoint confirmedAt(TimePoint now) const;
    /// The same without counting a read that the log holds.
    TimePoint lastConfirmedAt() const { return m_confirmedAt; }
    bool isTailing() const { return m_isTailing; }

private:
    Duration silenceLimit() const;
    Duration jittered(Duration span);

    const Settings &m_settings;
    Random &m_random;
    bool m_isTailing = true;
    std::size_t m_fleetSize = 1;
    bool m_reading = false; ///< A read is out; there is at most one.
    TimePoint m_sentAt;     ///< Of the read that is out.
    TimePoint m_notBefore;  ///< No read before.
    TimePoint m_confirmedAt;
    Duration m_patience = Duration::zero(); ///< Random part of the silence that is borne.
    std::uint32_t m_failures = 0;           ///< Reads that failed since the last answer.
};

} // namespace comfrey
