//! What tenants send, beside what they may send: rates that fade with time.

use crate::settings::Settings;

/// Each tenant's rate and quota on this backend, by index, in requests a second.
pub(crate) struct TenantRates {
    /// The settings' quotas, evenly divided over the backends.
    static_quotas: Vec<f64>,
    quotas: Vec<f64>,
    rates: Vec<f64>,
    /// The time over which rates are averaged.
    window_secs: f64,
}

impl TenantRates {
    /// Begins as if each tenant had sent what its quota allows.
    pub fn new(settings: &Settings, window_secs: f64) -> Self {
        let backends = f64::from(settings.backends.max(1));
        let quotas: Vec<f64> = settings.tenant_quotas.iter().map(|quota| quota / backends).collect();
        Self { static_quotas: quotas.clone(), rates: quotas.clone(), quotas, window_secs }
    }

    /// A tenant's rate; 0 for an unknown one.
    pub fn rate(&self, tenant: usize) -> f64 {
        self.rates.get(tenant).copied().unwrap_or(0.0)
    }

    /// Sets each tenant's quota; the settings' share holds where there is none.
    pub fn set_quotas(&mut self, leased: &[Option<f64>]) {
        for (tenant, quota) in self.quotas.iter_mut().enumerate() {
            *quota = leased.get(tenant).copied().flatten().unwrap_or(self.static_quotas[tenant]);
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, elapsed_secs: f64) {
        let kept = (-elapsed_secs / self.window_secs).exp();
        self.rates.iter_mut().for_each(|rate| *rate *= kept);
    }

    /// Counts a request of the tenant.
    pub fn count(&mut self, tenant: usize) {
        self.rates[tenant] += 1.0 / self.window_secs;
    }

    /// Takes back the count of a request.
    pub fn uncount(&mut self, tenant: usize) {
        self.rates[tenant] = (self.rates[tenant] - 1.0 / self.window_secs).max(0.0);
    }

    /// How much of the tenant's rate its quota covers, from 0 to 1.
    pub fn covered_fraction(&self, tenant: usize) -> f64 {
        (self.quotas[tenant] / self.rates[tenant]).min(1.0)
    }
}
