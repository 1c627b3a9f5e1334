/// The lifecycle state machine of a node, interpreted from lifecycle.scxml.
#pragma once

#include "base/problem.hpp"

#include <functional>
#include <memory>
#include <string>

class QScxmlStateMachine;

namespace caraway {

class lifecycle {
public:
    /// `on_entered` is called with the name of each state that is entered.
    static result<std::unique_ptr<lifecycle>> create(std::function<void(std::string const&)> on_entered);
    ~lifecycle();
    lifecycle(lifecycle const&) = delete;
    lifecycle& operator=(lifecycle const&) = delete;

    void start();
    /// An event for which the current state has no transition is ignored.
    void submit_event(std::string const& event);

private:
    lifecycle();

    std::unique_ptr<QScxmlStateMachine> machine;
};

} // namespace caraway
