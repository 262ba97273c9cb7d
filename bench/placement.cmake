qr_bench(NAME benchplacement SOURCES placement.cpp LIBS qr_placement)
