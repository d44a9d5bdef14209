#include "comfrey-load/balancer.h"

#include "common/httpclient.h"

namespace comfrey::load {

std::size_t Balancer::pickFirst()
{
    const std::lock_guard lock(m_mutex);
    return std::uniform_int_distribution<std::size_t>(0, m_routers.size() - 1)(m_random);
}

httplib::Error Balancer::send(httplib::Request &request, httplib::Response &response,
                              std::chrono::milliseconds readTimeout)
{
    HttpClientOptions options;
    options.readTimeout = readTimeout;
    options.keepAlive = false;
    const std::size_t first = pickFirst();
    httplib::Error error = httplib::Error::Connection;
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        const auto client = makeHttpClient(m_routers[(first + i) % m_routers.size()], options);
        error = httplib::Error::Success;
        client->send(request, response, error);
        if (error != httplib::Error::Connection && error != httplib::Error::ConnectionTimeout)
            return error;
    }
    return error;
}

} // namespace comfrey::load
