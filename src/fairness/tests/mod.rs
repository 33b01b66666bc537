mod properties;
mod simulation;
