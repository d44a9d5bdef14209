// What this process holds for callers and servers, and who gives way when memory or sockets run
// short. No I/O and no clock: connections say what they hold, and close when they are told.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <memory>

#include "comfrey/units.h"
#include "memory/answeraccount.h"

namespace comfrey {

/// What the bytes held for a caller are.
enum class HeldKind : std::uint8_t {
    Connection,   ///< The connection itself.
    Head,         ///< Header fields and bytes that are not parsed yet, also of later requests.
    ArrivingBody, ///< Body of a request that is not whole.
    RunningBody,  ///< Body of a request that is being served.
    Answer,       ///< Answer that waits for its end or for its reader.
};
constexpr std::size_t kHeldKinds = 5;

/// Text of a kind in metrics.
const char *textOf(HeldKind kind);

enum class Shortage : std::uint8_t { Memory, Sockets };

/// Where a caller's connection stands.
enum class CallerStage : std::uint8_t {
    Idle,     ///< Between two requests.
    Arriving, ///< A request has begun and is not whole.
    Running,  ///< A request is being served; its connection is never closed for others.
    Unread,   ///< The answer is whole, the caller has not taken all of it.
    Closing,  ///< Only the end of the connection is awaited.
};
constexpr std::size_t kCallerStages = 5;

/// Limits of an account. The defaults are none.
struct AccountLimits
{
    std::size_t bytes = std::numeric_limits<std::size_t>::max() / 4;
    /// Of callers and servers together.
    std::size_t sockets = std::numeric_limits<std::size_t>::max() / 4;
};

class CallerAccount;

/// What one caller's connection holds.
class CallerShare
{
public:
    CallerShare() = default;
    virtual ~CallerShare();
    CallerShare(const CallerShare &) = delete;
    CallerShare &operator=(const CallerShare &) = delete;

    /// The connection is closed, or its request refused; what it held is let go of.
    virtual void giveWay(Shortage shortage) = 0;

protected:
    /// Null: nothing is counted and nobody gives way.
    void join(std::shared_ptr<CallerAccount> account, TimePoint now);
    void leave();
    void hold(HeldKind kind, std::size_t bytes);
    /// Bytes came from the caller or went to it.
    void progress(std::size_t bytes, TimePoint now);
    void setStage(CallerStage stage, TimePoint now);
    CallerAccount *account() const { return m_account.get(); }

private:
    friend class CallerAccount;

    bool isLarge() const;
    /// What comes free if the request that arrives is refused.
    std::size_t arrivingBytes() const;

    std::shared_ptr<CallerAccount> m_account; ///< Null while nothing is counted.
    std::array<std::size_t, kHeldKinds> m_held{};
    CallerStage m_stage = CallerStage::Idle;
    TimePoint m_progressAt = TimePoint::min(); ///< Of the last progress that counts.
    std::size_t m_sinceProgress = 0;           ///< Bytes since then.
    std::list<CallerShare *>::iterator m_position;
};

class CallerAccount
{
public:
    /// A body up to this size may use what is kept free of larger ones.
    static constexpr std::size_t kSmallBody = std::size_t{64} * 1024;
    /// Counted for the answer of each running request from its start.
    static constexpr std::size_t kAnswerReserve = std::size_t{16} * 1024;
    /// Fewer bytes are no progress: a caller that trickles counts as one that has stopped.
    static constexpr std::size_t kProgressBytes = 4096;
    /// A caller that took nothing of its whole answer for so long gives way to others.
    static constexpr Duration kUnreadLimit = milliseconds(2000);
    /// Beyond the limit of sockets, for callers that are told to come back.
    static constexpr std::size_t kSpareSockets = 32;
    /// The part of the limit that answers may take which nobody can be given yet: 1 / kAnswerPart.
    static constexpr std::size_t kAnswerPart = 4;

    explicit CallerAccount(const AccountLimits &limits)
        : m_limits(limits), m_answers(limits.bytes / kAnswerPart)
    { }
    const AccountLimits &limits() const { return m_limits; }

    /// True if memory is too short for `share` to hold what it holds now.
    bool isOver(const CallerShare &share) const;
    /// True if what callers may leave unread or send ahead is cut to a small amount.
    bool isTight() const { return used() > largeLimit() || m_answers.isTight(); }
    /// True if no further socket may be opened.
    bool lacksSocket() const { return sockets() >= m_limits.sockets; }
    /// True if not even a caller that is to be refused may be accepted.
    bool lacksSpareSocket() const { return sockets() >= m_limits.sockets + kSpareSockets; }
    /// Who gives way to `newcomer`; null if nobody else may. It may be null for one that is not
    /// counted yet.
    CallerShare *victim(Shortage shortage, const CallerShare *newcomer, TimePoint now) const;

    /// What servers' connections hold.
    AnswerAccount &answers() { return m_answers; }
    const AnswerAccount &answers() const { return m_answers; }
    /// What callers' connections hold.
    std::size_t held() const { return m_total; }
    std::size_t held(HeldKind kind) const { return m_held[static_cast<std::size_t>(kind)]; }
    std::size_t callers() const { return m_callers; }
    std::size_t sockets() const { return m_callers + m_serverSockets; }
    /// Sockets to servers, kept ones included.
    void addServerSocket() { ++m_serverSockets; }
    void removeServerSocket() { --m_serverSockets; }

private:
    friend class CallerShare;

    /// True if `newcomer` finds room once no other request arrives. Else the others would give way
    /// for nothing.
    bool wouldSuffice(const CallerShare *newcomer) const;
    std::size_t used() const { return m_total + m_answers.held(); }
    /// Bytes that may be held while large bodies are among them.
    std::size_t largeLimit() const { return m_limits.bytes / 4 * 3; }
    const std::list<CallerShare *> &at(CallerStage stage) const
    {
        return m_stages[static_cast<std::size_t>(stage)];
    }

    AccountLimits m_limits;
    AnswerAccount m_answers;                      ///< Counts within m_limits.bytes too.
    std::array<std::size_t, kHeldKinds> m_held{}; ///< Sums over all shares; they add up to m_total.
    std::size_t m_total = 0;
    std::size_t m_arriving = 0;    ///< Sum of CallerShare::arrivingBytes().
    std::size_t m_largeBodies = 0; ///< Shares with a body over kSmallBody.
    std::size_t m_callers = 0;
    std::size_t m_serverSockets = 0; ///< Open ones.
    /// Every share once, in the list of its stage; the front made progress the longest ago.
    std::array<std::list<CallerShare *>, kCallerStages> m_stages;
};

} // namespace comfrey
