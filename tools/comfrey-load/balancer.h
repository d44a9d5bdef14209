// The platform's balancer before the routers, as callers see it: a random router for each
// connection, and another one if it does not accept.
#pragma once

#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <httplib.h>

#include "comfrey/ids.h"

namespace comfrey::load {

class Balancer
{
public:
    Balancer(std::vector<Endpoint> routers, std::uint64_t seed)
        : m_routers(std::move(routers)), m_random(seed)
    { }

    /// Sends the request over a new connection; tries up to every router while none accepts.
    /// `readTimeout` is the longest wait for the next bytes.
    httplib::Error send(httplib::Request &request, httplib::Response &response,
                        std::chrono::milliseconds readTimeout);

private:
    std::size_t pickFirst();

    const std::vector<Endpoint> m_routers;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
};

} // namespace comfrey::load
