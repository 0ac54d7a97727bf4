#include "proxy.h"

#include <string>
#include <utility>

namespace greengagechute::soak {

proxy::proxy(wire::event_loop& own_loop, wire::endpoint first_target)
    : loop(own_loop),
      target(std::move(first_target)),
      listener(own_loop,
               [this](std::shared_ptr<wire::stream> near) { this->accept(std::move(near)); }) {
    static_cast<void>(this->listener.open({"127.0.0.1", 0}));
    this->own = {"127.0.0.1", this->listener.port()};
}

void proxy::set_listening(bool enabled) {
    if (this->listening != enabled) {
        this->listening = enabled;
        if (enabled) {
            static_cast<void>(this->listener.open(this->own));
        } else {
            this->listener.close();
        }
    }
}

void proxy::accept(std::shared_ptr<wire::stream> near) {
    std::erase_if(this->pairs, [](const auto& one) { return one->near == nullptr; });
    const auto made = std::make_shared<pair>();
    made->near = std::move(near);
    this->pairs.push_back(made);
    const std::weak_ptr<pair> weak = made;
    const auto handlers_of = [this, weak](bool forward) {
        wire::stream_handlers handlers;
        handlers.data = [this, weak, forward](std::string_view bytes) {
            this->pass(weak, forward, bytes);
        };
        handlers.ended = [weak](wire::stream_end) {
            if (const auto connection = weak.lock()) {
                close(*connection);
            }
        };
        return handlers;
    };
    made->near->set_handlers(handlers_of(true));
    made->far = wire::stream::connect(this->loop, this->target, handlers_of(false));
}

void proxy::pass(const std::weak_ptr<pair>& connection, bool forward, std::string_view bytes) {
    const auto open = connection.lock();
    if (!open || open->silent) {
        return;
    }
    if (forward ? this->fault.drops_forward : this->fault.drops_backward) {
        open->silent = true;
        return;
    }
    const auto send = [connection, forward, text = std::string(bytes)] {
        const auto still_open = connection.lock();
        if (still_open && still_open->near != nullptr && still_open->far != nullptr) {
            (forward ? still_open->far : still_open->near)->write(text);
        }
    };
    if (this->fault.delay > milliseconds{0}) {
        this->loop.call_after(this->fault.delay, send);
    } else {
        send();
    }
}

void proxy::close(pair& connection) {
    const auto near = std::exchange(connection.near, nullptr);
    const auto far = std::exchange(connection.far, nullptr);
    if (near != nullptr) {
        near->close();
    }
    if (far != nullptr) {
        far->close();
    }
}

void proxy::reset() {
    for (const auto& one : this->pairs) {
        close(*one);
    }
    this->pairs.clear();
}

}  // namespace greengagechute::soak
