qr_bench(NAME benchpressure SOURCES pressure.cpp LIBS qr_workflow)
