//! The request rates of tenants, as moving averages, and their quotas.

use crate::settings::Settings;

/// Each tenant's rate and quota on this backend, by tenant index, in requests a second.
pub(crate) struct TenantRates {
    /// The settings' quotas, divided evenly among the backends.
    static_quotas: Vec<f64>,
    quotas: Vec<f64>,
    rates: Vec<f64>,
    /// Averaging window of the rates, in seconds.
    window_secs: f64,
}

impl TenantRates {
    /// Starts with each tenant's rate at its quota.
    pub fn new(settings: &Settings, window_secs: f64) -> Self {
        let backends = f64::from(settings.backends.max(1));
        let quotas: Vec<f64> = settings.tenant_quotas.iter().map(|quota| quota / backends).collect();
        Self { static_quotas: quotas.clone(), rates: quotas.clone(), quotas, window_secs }
    }

    /// A tenant's rate; 0 for an unknown tenant.
    pub fn rate(&self, tenant: usize) -> f64 {
        self.rates.get(tenant).copied().unwrap_or(0.0)
    }

    /// Sets each tenant's quota to the leased one, or to its share of the settings' quota if there is none.
    pub fn set_quotas(&mut self, leased: &[Option<f64>]) {
        for (tenant, quota) in self.quotas.iter_mut().enumerate() {
            *quota = leased.get(tenant).copied().flatten().unwrap_or(self.static_quotas[tenant]);
        }
    }

    /// Decays the rates by the time that passed.
    pub fn advance(&mut self, elapsed_secs: f64) {
        let decay = (-elapsed_secs / self.window_secs).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
    }

    pub fn count(&mut self, tenant: usize) {
        self.rates[tenant] += 1.0 / self.window_secs;
    }

    /// Takes back the count of a request.
    pub fn uncount(&mut self, tenant: usize) {
        self.rates[tenant] = (self.rates[tenant] - 1.0 / self.window_secs).max(0.0);
    }

    /// The fraction of the tenant's rate that its quota covers, from 0 to 1.
    pub fn covered_fraction(&self, tenant: usize) -> f64 {
        (self.quotas[tenant] / self.rates[tenant]).min(1.0)
    }
}
