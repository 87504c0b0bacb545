//! Arena that hands out small `Copy` keys.

use std::fmt;
use std::hash::{Hash, Hasher};
use std::marker::PhantomData;

/// Key of a value in an [`Arena`].
pub struct Key<T> {
    slot: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
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

/// Values addressed by [`Key`]s that go stale when their value is removed.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
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
        let slot = self.free.pop().unwrap_or(self.slots.len() as u32);
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
            kind: PhantomData,
        }
    }

    /// Removes and returns the value behind `key`.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let entry = self.slots.get_mut(key.slot as usize)?;
        if entry.generation != key.generation {
            return None;
        }
        let value = entry.value.take()?;
        entry.generation += 1;
        self.free.push(key.slot);
        Some(value)
    }

    /// Value behind `key`, unless it has been removed.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let entry = self.slots.get(key.slot as usize)?;
        entry
            .value
            .as_ref()
            .filter(|_| entry.generation == key.generation)
    }

    /// Mutable value behind `key`, unless it has been removed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let entry = self.slots.get_mut(key.slot as usize)?;
        entry
            .value
            .as_mut()
            .filter(|_| entry.generation == key.generation)
    }

    /// All keys with their values.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(i, slot)| {
            let key = Key {
                slot: i as u32,
                generation: slot.generation,
                kind: PhantomData,
            };
            slot.value.as_ref().map(|value| (key, value))
        })
    }

    /// Number of stored values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether nothing is stored.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
