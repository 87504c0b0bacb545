//! Generational arena: a collection in which the key of a removed value stays invalid.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// Key of a value in an [`Arena`].
///
/// The generation distinguishes the value from later ones in the same slot.
pub struct Key<T> {
    slot: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}v{}", self.slot, self.generation)
    }
}

impl<T> Eq for Key<T> {}

impl<T> Hash for Key<T> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.slot, self.generation).hash(state);
    }
}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.slot, self.generation) == (other.slot, other.generation)
    }
}

#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Collection of values addressed by keys that become invalid on removal.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free_slots: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free_slots: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let slot = self.free_slots.pop().unwrap_or(self.slots.len() as u32);
        if slot as usize == self.slots.len() {
            self.slots.push(Slot {
                generation: 0,
                value: None,
            });
        }
        let entry = &mut self.slots[slot as usize];
        entry.value = Some(value);
        Key {
            slot,
            generation: entry.generation,
            marker: PhantomData,
        }
    }

    /// Removes the value at `key` and returns it, or `None` if already removed.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let entry = self.slots.get_mut(key.slot as usize)?;
        if entry.generation != key.generation {
            return None;
        }
        let value = entry.value.take()?;
        entry.generation += 1;
        self.free_slots.push(key.slot);
        Some(value)
    }

    /// Returns the value at `key`, or `None` if it was removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let entry = self.slots.get(key.slot as usize)?;
        entry
            .value
            .as_ref()
            .filter(|_| entry.generation == key.generation)
    }

    /// Returns the value at `key` for modification, or `None` if it was removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let entry = self.slots.get_mut(key.slot as usize)?;
        entry
            .value
            .as_mut()
            .filter(|_| entry.generation == key.generation)
    }

    /// Returns an iterator over all keys and their values.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(i, slot)| {
            let key = Key {
                slot: i as u32,
                generation: slot.generation,
                marker: PhantomData,
            };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Returns the number of stored values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Returns whether no value is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
