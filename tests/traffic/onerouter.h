// Base of test fixtures with one router between callers and scripted servers on loopback.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

#include "gateway/gateway.h"
#include "headers.h"
#include "loopback.h"
#include "traffic/callerlistener.h"

namespace comfrey::loopback {

/// Fixtures configure m_dispatcher and start m_listener in their setUp().
class OneRouter
{
protected:
    explicit OneRouter(const DispatcherSettings &settings = {}) : m_dispatcher(settings) { }

    /// Listens with the routes /once/, /again/ and /stream/ to the servers that are added: one of
    /// each kind, none with a second attempt.
    void listenWithARouteOfEachKind(Duration timeout, const CallerLimits &limits = {})
    {
        FleetConfig config;
        config.version = 1;
        config.limits = limits;
        config.routes = {routeOf("/once/", RouteKind::AtMostOnce, timeout),
                         routeOf("/again/", RouteKind::Retryable, timeout),
                         routeOf("/stream/", RouteKind::Stream, timeout)};
        m_dispatcher.apply(std::move(config));
        CPPUNIT_ASSERT(m_listener.listen("127.0.0.1:0"));
    }

    static Route routeOf(const std::string &prefix, RouteKind kind, Duration timeout)
    {
        Route route;
        route.name = prefix;
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = timeout;
        route.maxAttempts = 1;
        route.targets = {{ServiceName("s"), 1}};
        return route;
    }

    /// The record by which the router knows the server under `id`.
    static ReplicaRecord recordOf(const ScriptedServer &server, const std::string &id)
    {
        ReplicaRecord record;
        record.id = BackendId(id);
        record.service = ServiceName("s");
        record.address = Endpoint(server.address());
        record.slots = 8;
        record.startedAtMs = 1;
        return record;
    }

    /// Lists the server under `id`, so that requests are sent to it.
    void addServer(const ScriptedServer &server, const std::string &id)
    {
        m_dispatcher.replicas().put(recordOf(server, id), now());
    }

    /// Sends the bytes of a request on a new connection and returns the response.
    RawCaller::Response sendAndReceive(const std::string &bytes)
    {
        RawCaller caller(m_loop, m_listener.port());
        caller.send(bytes);
        std::optional<RawCaller::Response> response;
        CPPUNIT_ASSERT(
            runUntil(m_loop, [&] { return (response = caller.takeResponse()).has_value(); }));
        return *response;
    }

    boost::asio::io_context m_loop{1};
    EventLog m_log{-1};
    Metrics m_metrics;
    platform::PlatformHeaders m_headers;
    Dispatcher m_dispatcher;
    BackendPool m_pool{m_loop, {milliseconds(1000), milliseconds(3000), 16384}, milliseconds(8000)};
    Gateway m_gateway{{m_loop, m_dispatcher, m_headers, m_pool, m_log, m_metrics, now}};
    CallerListener m_listener{m_loop, m_gateway, now, 100};
};

} // namespace comfrey::loopback
