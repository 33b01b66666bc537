mod cases;
mod interleavings;
mod simulation;
