"""Rabaryog's orders: few messages come first, because its older endpoints suffer from load."""

import quetzalvale

quetzalvale.Service(
    service="rabaryog-orders",
    objective="messages",
    kinds=[
        quetzalvale.Kind("price_check", urgency=0, deadline_ms=10000, expected_ms=100),
        quetzalvale.Kind("cut_plan_quote", urgency=1, deadline_ms=20000, expected_ms=600),
        quetzalvale.Kind("stock_hold", urgency=2, deadline_ms=20000, expected_ms=300),
    ],
    teams=[quetzalvale.Team("orders")],
    worker_limits=quetzalvale.WorkerLimits(cores=16, memory_mb=65536),
    batching=quetzalvale.Batching(start_delay_us=2000, outcome_delay_ms=10),
    lease_ms=6000,
).print_document()
