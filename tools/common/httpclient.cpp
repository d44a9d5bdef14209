#include "common/httpclient.h"

#include <utility>

#include "common/endpoint.h"

namespace comfrey {

std::unique_ptr<httplib::Client> makeHttpClient(const Endpoint &address,
                                                const HttpClientOptions &options)
{
    const Result<HostPort> parsed = parseEndpoint(address.value());
    const HostPort target = parsed ? *parsed : HostPort{"0.0.0.0", 0};
    auto client = std::make_unique<httplib::Client>(target.host, target.port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(options.keepAlive);
    client->set_connection_timeout(options.connectTimeout);
    client->set_read_timeout(options.readTimeout);
    client->set_write_timeout(options.writeTimeout);
    return client;
}

std::unique_ptr<httplib::Client> HttpClientPool::take(const Endpoint &address)
{
    {
        const std::lock_guard lock(m_mutex);
        auto &idle = m_idle[address];
        if (!idle.empty()) {
            std::unique_ptr<httplib::Client> client = std::move(idle.back());
            idle.pop_back();
            return client;
        }
    }
    return makeHttpClient(address, m_options);
}

void HttpClientPool::giveBack(const Endpoint &address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    m_idle[address].push_back(std::move(client));
}

} // namespace comfrey
