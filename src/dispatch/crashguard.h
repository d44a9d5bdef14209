// Requests that crash the backend servers that run them. Callers send such a request again, through
// any router, so routers tell each other; after crashes of a few servers it is refused for a term.
#pragma once

#include <map>
#include <set>
#include <string>

#include "comfrey/ids.h"
#include "comfrey/units.h"

namespace comfrey {

class CrashGuard
{
public:
    /// `server`, an incarnation, broke while it ran the request. True if that was not known yet.
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

    struct Suspect
    {
        std::set<std::string> servers; ///< Incarnations that broke.
        TimePoint last;
    };

    std::map<Fingerprint, Suspect> m_suspects;
};

} // namespace comfrey
