// Requests that crash the backend servers that run them. Callers send such a request again, through
// any router, so routers tell each other; after crashes of a few servers it is refused for a term.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

/// A request that was running when a server crashed.
struct CrashNotice
{
    Fingerprint request;
    std::string server; ///< The incarnation that crashed.
};

class CrashGuard
{
public:
    /// The connection broke that carried the request. Alone this shows no crash.
    void onBrokenSend(Fingerprint request, const std::string &server, TimePoint now);
    /// A connection to the server ended without a reason known here. Two at once mean a crash.
    void onConnectionLost(const std::string &server, TimePoint now);
    /// The server takes no connections any more.
    void onUnreachable(const std::string &server, TimePoint now);
    /// What this router found out since the last call, for the other routers.
    std::vector<CrashNotice> takeNotices() { return std::exchange(m_notices, {}); }

    /// Found out here or told by another router. True if that was not known yet.
    bool onCrash(Fingerprint request, const std::string &server, TimePoint now);
    /// The request ran well: the crashes beside it had other causes.
    void onSuccess(Fingerprint request);
    bool isRefused(Fingerprint request, TimePoint now) const;
    void tick(TimePoint now);

private:
    static constexpr std::size_t kCrashesToRefuse =
        2; // a third server must not pay for a sure suspicion
    static constexpr Duration kTerm =
        milliseconds(60000); ///< A crashed server takes seconds to come back.

    /// Connections that are lost within it went down together.
    static constexpr Duration kTogether = milliseconds(100);
    /// After a connection broke, a refused one shows that the server is down.
    static constexpr Duration kEvidence = milliseconds(1000);

    struct BrokenSend
    {
        CrashNotice notice;
        TimePoint at;
    };

    void onServerCrashed(const std::string &server, TimePoint now);

    struct Suspect
    {
        std::set<std::string> servers; ///< Incarnations that broke.
        TimePoint last;
    };

    std::map<Fingerprint, Suspect> m_suspects;
    std::vector<BrokenSend> m_broken;            ///< Within kEvidence.
    std::map<std::string, TimePoint> m_lastLost; ///< By server; within kEvidence.
    std::vector<CrashNotice> m_notices;
};

} // namespace comfrey
