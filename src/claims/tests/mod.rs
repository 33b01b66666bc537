mod cases;
mod interleavings;
mod world;
