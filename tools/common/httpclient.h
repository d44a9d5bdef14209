// HTTP clients with the set-up that every program needs, and a pool that keeps their connections.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <httplib.h>

#include "comfrey/ids.h"

namespace comfrey {

struct HttpClientOptions
{
    std::chrono::milliseconds connectTimeout = std::chrono::seconds(1);
    std::chrono::milliseconds readTimeout = std::chrono::seconds(5); ///< Between two reads.
    std::chrono::milliseconds writeTimeout = std::chrono::seconds(5);
    bool keepAlive = true;
};

/// A client of "IP:port". An address that does not parse gives a client that cannot connect.
std::unique_ptr<httplib::Client> makeHttpClient(const Endpoint &address,
                                                const HttpClientOptions &options);

/// Clients with kept-alive connections, each used by one thread at a time.
class HttpClientPool
{
public:
    explicit HttpClientPool(const HttpClientOptions &options) : m_options(options) { }

    /// An idle client of the address, or a new one.
    std::unique_ptr<httplib::Client> take(const Endpoint &address);
    /// Gives back a client whose last answer was read whole; drop it instead after an error.
    void giveBack(const Endpoint &address, std::unique_ptr<httplib::Client> client);

private:
    const HttpClientOptions m_options;
    std::mutex m_mutex;
    std::map<Endpoint, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

} // namespace comfrey
