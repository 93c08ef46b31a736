"""Zarqa's order desk: response time comes first."""

import quetzalvale

quetzalvale.Service(
    service="zarqa-order-desk",
    objective="response_time",
    kinds=[
        quetzalvale.Kind("stock_check", urgency=0, deadline_ms=5000, expected_ms=100),
        quetzalvale.Kind("quote", urgency=1, deadline_ms=10000, expected_ms=300),
        quetzalvale.Kind("booking", urgency=2, deadline_ms=20000, expected_ms=500),
    ],
    teams=[quetzalvale.Team("desk"), quetzalvale.Team("pallets")],
    worker_limits=quetzalvale.WorkerLimits(cores=16, memory_mb=32768),
).print_document()
