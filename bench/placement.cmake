qr_bench(NAME benchplacement SOURCES placement.cpp LIBS qr_placement)
qr_bench(NAME benchplacementcost SOURCES placementcost.cpp LIBS qr_placement)
