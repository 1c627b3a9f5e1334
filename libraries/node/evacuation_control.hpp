/// Puts evacuations of failure domains into force at this node.
#pragma once

#include "node/executor.hpp"
#include "node/node_context.hpp"

#include <vector>

namespace caraway {

class evacuation_control {
public:
    evacuation_control(node_context& shared, executor& own_executor)
        : context(shared), local_executor(own_executor) {}

    void apply_host_list(host_list const& list, time_point now) {
        this->apply(this->context.evacuations.update(list, now), now);
    }
    void run_periodic_tasks(time_point now) {
        this->apply(this->context.evacuations.run_periodic_tasks(now), now);
    }

private:
    void apply(std::vector<evacuation_change> const& changes, time_point now);

    node_context& context;
    executor& local_executor;
};

} // namespace caraway
