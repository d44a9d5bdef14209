// One router process: joins the facade with its sockets and threads.
#pragma once

#include <memory>

#include "comfrey/error.h"
#include "comfrey/settings.h"

namespace comfrey {

class Daemon
{
public:
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Opens the three ports. Nothing runs if one cannot be opened.
    Result<void> start();

    /// Graceful stop: readiness off, new requests refused, those in flight answered whole, at most
    /// for router.stopLimitMs. Returns true if nothing was cut.
    bool stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace comfrey
