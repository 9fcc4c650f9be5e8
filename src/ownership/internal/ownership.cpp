#include "ownership/ownership.hpp"

#include "ownership/internal/driver.hpp"

namespace briarfold::ownership {

namespace asio = core::asio;

ownership::ownership(const asio::any_io_executor& executor, ownership_dependencies dependencies)
    : driver_(std::make_shared<driver>(executor, dependencies))
{}

ownership::~ownership()
{
    driver_->stop();
}

void ownership::start()
{
    driver_->start();
}

void ownership::stop()
{
    driver_->stop();
}

protocol_counters ownership::counters() const
{
    return driver_->counters();
}

std::shared_ptr<const iownership_map> ownership::map() const
{
    return driver_->map();
}

void ownership::on_map_change(std::function<void(const std::shared_ptr<const iownership_map>&)> hook)
{
    driver_->on_map_change(std::move(hook));
}

core::duration ownership::unchecked_authority(const std::string& backend_server_id) const
{
    return driver_->unchecked_authority(backend_server_id);
}

asio::awaitable<bool> ownership::move(slice_move request)
{
    return driver_->move(std::move(request));
}

asio::awaitable<void> ownership::hand_over_all()
{
    return driver_->hand_over_all();
}

} // namespace briarfold::ownership
