// The platform's HTTP interface and the routers' operator ports, as the client uses them.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "comfrey/error.h"
#include "comfrey/events.h"
#include "config/logfollower.h"

namespace comfrey::ctl {

struct RouterAddress
{
    RouterId id;
    Endpoint operatorAddress;
};

class PlatformClient
{
public:
    explicit PlatformClient(Endpoint address) : m_address(std::move(address)) { }

    /// One answer of the log; Unavailable if it does not come.
    Result<LogRead> read(const StreamId &stream, LogOffset from,
                         std::chrono::milliseconds wait = {}) const;
    AppendResult append(const StreamId &stream, const Bytes &payload) const;
    /// Routers that the instance list calls live.
    Result<std::vector<RouterAddress>> routers() const;
    /// Folds the stream "config" up to its present end.
    Result<void> follow(LogFollower &follower) const;

private:
    Endpoint m_address;
};

/// A router's state dump.
Result<nlohmann::json> fetchDump(const RouterAddress &router);

} // namespace comfrey::ctl
