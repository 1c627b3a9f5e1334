#include "node/lifecycle.hpp"

#include "lifecycle_text.hpp"

#include <QBuffer>
#include <QScxmlStateMachine>

namespace caraway {

lifecycle::lifecycle() = default;

lifecycle::~lifecycle() = default;

result<std::unique_ptr<lifecycle>> lifecycle::create(std::function<void(std::string const&)> on_entered) {
    QBuffer text;
    text.setData(lifecycle_text.data(), static_cast<int>(lifecycle_text.size()));
    text.open(QIODevice::ReadOnly);
    std::unique_ptr<lifecycle> created(new lifecycle);
    created->machine.reset(QScxmlStateMachine::fromData(&text, "lifecycle.scxml"));
    if (created->machine == nullptr || !created->machine->parseErrors().isEmpty()) {
        return fail({result_code::io_failed, "The state machine lifecycle.scxml can't be read."});
    }
    for (auto const& name : created->machine->stateNames(false)) {
        created->machine->connectToState(name, created->machine.get(), [on_entered, name](bool active) {
            if (active) {
                on_entered(name.toStdString());
            }
        });
    }
    return created;
}

void lifecycle::start() {
    this->machine->start();
}

void lifecycle::submit_event(std::string const& event) {
    this->machine->submitEvent(QString::fromStdString(event));
}

} // namespace caraway
