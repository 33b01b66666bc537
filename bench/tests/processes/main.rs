//! Tests with real processes on loopback.

#[cfg(test)]
mod bad_input;
#[cfg(test)]
mod broken_files;
#[cfg(test)]
mod deaths;
#[cfg(test)]
mod documents;
#[cfg(test)]
mod env;
#[cfg(test)]
mod leaving;
#[cfg(test)]
mod silence;
#[cfg(test)]
mod stops;
#[cfg(test)]
mod store;
#[cfg(test)]
mod whole_path;
#[cfg(test)]
mod writes;
