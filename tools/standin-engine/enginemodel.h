// Times and sizes of the modelled engine.
#pragma once

#include <chrono>
#include <cstddef>

#include "comfrey/units.h"

namespace comfrey::standin {

struct EngineModel
{
    std::size_t slots = 8;                     ///< Requests that run at once.
    std::size_t queueLimit = 256;              ///< Waiting requests; more are refused.
    Duration step = milliseconds(20);          ///< Of a decode step with an empty batch.
    Duration stepPerRequest = milliseconds(1); ///< Added for each request in the batch.
    Duration prefillPerToken = Duration(100);  ///< Of a prompt token that is not cached.
    Tokens prefillPerStep = 256;               ///< Prompt tokens that one step takes, all requests.
    Duration importPerToken = Duration(10);    ///< Of KV cache from another engine.
    Duration ageing = milliseconds(1000);      ///< Waiting that raises the priority by one.
    Duration modelLoad = milliseconds(2000);   ///< Of an order that loads a model.
    Tokens cacheTokens = 100000;               ///< Memory of the prefix cache.
    double timeScale = 1;                      ///< Factor on all times above.

    Duration scaled(Duration time, double factor = 1) const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(
            static_cast<double>(time.count()) * timeScale * factor));
    }
};

} // namespace comfrey::standin
